#include "core/gateway/request_identity.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace gypsum {

namespace {

constexpr std::size_t kMaxCustomerBytes = 32;

} // namespace

std::string NameOf(const RequestIdentity& aRequest)
{
  std::string host(aRequest.host);
  std::ranges::transform(host, host.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  const std::array<std::string_view, 4> fields{
    aRequest.method, host, aRequest.target, aRequest.body
  };
  const std::string customer =
    aRequest.customer.size() <= kMaxCustomerBytes
      ? std::string(aRequest.customer)
      : "#" + std::to_string(Checksum(aRequest.customer));
  return "request:" + customer + "/" + LongChecksum(fields);
}

} // namespace gypsum
