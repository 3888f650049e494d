#include "core/configuration/ini_handler.h"

#include <cxxtools/char.h>
#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

// The string class of cxxtools uses members of std::allocator that C++20 has
// removed, so the build compiles this one file as C++17.

namespace gypsum {

namespace {

/** Forwards the parser's events together with the current line number. */
class ParserAdapter : public cxxtools::IniParser::Event
{
public:
  explicit ParserAdapter(IniHandler& aHandler)
    : handler_(aHandler)
  {
  }

  void SetLine(unsigned aLine) { line_ = aLine; }

  using cxxtools::IniParser::Event::onKey;
  using cxxtools::IniParser::Event::onSection;
  using cxxtools::IniParser::Event::onValue;

  bool onSection(const std::string& aSection) override
  {
    handler_.OnSection(aSection, line_);
    return false;
  }

  bool onKey(const std::string& aKey) override
  {
    key_ = aKey;
    return false;
  }

  bool onValue(const std::string& aValue) override
  {
    handler_.OnValue(key_, aValue, line_);
    return false;
  }

  bool onError() override
  {
    handler_.OnMalformed(line_);
    return true;
  }

private:
  IniHandler& handler_;
  std::string key_;
  unsigned line_ = 1;
};

} // namespace

void ParseIni(std::string_view aText, IniHandler& aHandler)
{
  ParserAdapter adapter(aHandler);
  cxxtools::IniParser parser(adapter);
  const cxxtools::String text = cxxtools::Utf8Codec::decode(std::string(aText));
  unsigned line = 1;
  for (const cxxtools::Char character : text) {
    adapter.SetLine(line);
    if (parser.parse(character)) {
      return;
    }
    if (character == cxxtools::Char('\n')) {
      ++line;
    }
  }
  parser.end();
}

} // namespace gypsum
