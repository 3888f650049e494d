#include "core/plain_text.h"

#include <boost/locale/utf.hpp>

#include <algorithm>

namespace gypsum {

namespace {

constexpr unsigned char kDelete = 0x7F;

bool IsUtf8(std::string_view aText)
{
  namespace utf = boost::locale::utf;
  const char* at = aText.data();
  const char* const end = at + aText.size();
  while (at != end) {
    if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(at, end))) {
      return false;
    }
  }
  return true;
}

bool IsControl(unsigned char aByte)
{
  return aByte < ' ' || aByte == kDelete;
}

} // namespace

bool IsPlainText(std::string_view aText)
{
  return aText.size() <= kMaxPlainTextBytes &&
         std::ranges::none_of(aText, IsControl) && IsUtf8(aText);
}

bool IsHeaderText(std::string_view aText)
{
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         IsPlainText(aText);
}

bool IsPrintableAscii(std::string_view aText)
{
  return std::ranges::all_of(
    aText, [](char aByte) { return aByte >= ' ' && aByte <= '~'; });
}

} // namespace gypsum
