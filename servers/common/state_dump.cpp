#include "servers/common/state_dump.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstddef>

namespace gypsum {

namespace {

constexpr std::size_t kIndentWidth = 2;

void Append(const boost::json::object& aState,
            std::size_t aDepth,
            std::string& aText)
{
  for (const auto& [name, value] : aState) {
    aText.append(aDepth * kIndentWidth, ' ').append(name).append(":");
    if (value.is_object()) {
      aText.append("\n");
      Append(value.get_object(), aDepth + 1, aText);
      continue;
    }
    aText.append(" ").append(boost::json::serialize(value)).append("\n");
  }
}

} // namespace

std::string DumpAsText(const boost::json::object& aState)
{
  std::string text;
  Append(aState, 0, text);
  return text;
}

std::string DumpAsJson(const boost::json::object& aState)
{
  return boost::json::serialize(aState) + "\n";
}

} // namespace gypsum
