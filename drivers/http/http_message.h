#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/** A complete HTTP request. */
struct HttpRequest
{
  std::string method;
  std::string path;
  std::string query;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /** Value of a header, whose name is case-insensitive; empty if absent. */
  std::string_view Header(std::string_view aName) const;
};

/** A complete HTTP reply. */
struct HttpReply
{
  unsigned status = 200;
  std::string reason = "OK";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

} // namespace gypsum
