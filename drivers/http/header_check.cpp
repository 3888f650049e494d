#include "drivers/http/header_check.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cxxtools/http/request.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace gypsum {

namespace {

constexpr std::size_t kMaxPathBytes = 4'096;

// Headers that identify the request or limit its time; a repeated one would
// make it ambiguous which value applies.
constexpr std::array<std::string_view, 4> kUniqueHeaders{
  "Host",
  "Idempotency-Key",
  "Gypsum-Customer",
  "Gypsum-Deadline-Ms"
};

std::optional<std::uint64_t> ParseLength(std::string_view aText)
{
  std::uint64_t length = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, length);
  const bool isValid = code == std::errc() && end == last && !aText.empty();
  return isValid ? std::optional(length) : std::nullopt;
}

auto CountHeader(const cxxtools::http::MessageHeader& aHeader,
                 std::string_view aName)
{
  return std::count_if(
    aHeader.begin(), aHeader.end(), [aName](const auto& aItem) {
      return boost::algorithm::iequals(aItem.first, aName);
    });
}

bool RequiresBody(const std::string& aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

ErrorKind CheckLength(const cxxtools::http::Request& aRequest,
                      std::uint64_t aMaxBodyBytes)
{
  const auto lengths = CountHeader(aRequest.header(), "Content-Length");
  const bool hasEncoding =
    CountHeader(aRequest.header(), "Transfer-Encoding") > 0;
  if (lengths > 1 || (lengths > 0 && hasEncoding)) {
    return ErrorKind::BadRequest;
  }
  if (lengths == 0) {
    const bool isLengthMissing = hasEncoding || RequiresBody(aRequest.method());
    return isLengthMissing ? ErrorKind::LengthRequired : ErrorKind::None;
  }
  const char* const text = aRequest.getHeader("Content-Length");
  const auto length = ParseLength(text ? text : "");
  if (!length) {
    return ErrorKind::BadRequest;
  }
  return *length > aMaxBodyBytes ? ErrorKind::BodyTooLarge : ErrorKind::None;
}

} // namespace

ErrorKind CheckHeader(const cxxtools::http::Request& aRequest,
                      std::uint64_t aMaxBodyBytes)
{
  if (aRequest.url().size() + aRequest.qparams().size() > kMaxPathBytes) {
    return ErrorKind::BadRequest;
  }
  const bool hasDuplicate =
    std::ranges::any_of(kUniqueHeaders, [&](std::string_view aName) {
      return CountHeader(aRequest.header(), aName) > 1;
    });
  if (hasDuplicate) {
    return ErrorKind::BadRequest;
  }
  return CheckLength(aRequest, aMaxBodyBytes);
}

} // namespace gypsum
