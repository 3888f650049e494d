#pragma once

#include <string>
#include <string_view>

namespace gypsum {

/** What makes two requests the same, whatever their attempt. */
struct RequestIdentity
{
  std::string_view customer; ///< Empty on a public route.
  std::string_view method;
  std::string_view host;
  std::string_view target; ///< Path and query as sent.
  std::string_view body;
};

/**
 * Name of a request: its customer and a 128-bit hash of the rest.
 *
 * Equal on all gateways. The customer is no part of the hash, so that no client
 * can make a request whose name is that of another customer's.
 */
std::string NameOf(const RequestIdentity& aRequest);

} // namespace gypsum
