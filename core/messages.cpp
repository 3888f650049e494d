#include "core/messages.h"

#include <array>

namespace gypsum {

std::string_view NameOf(const PeerBody& aBody)
{
  // In the order of the alternatives.
  constexpr std::array<std::string_view, std::variant_size_v<PeerBody>> kNames{
    "hello",
    "report",
    "stage-request",
    "stage-reply",
    "cancel",
    "manifest-request",
    "manifest-reply",
    "fleet-update",
    "release-request",
    "release-reply",
    "status",
    "registry-request",
    "registry-reply",
    "piece-request",
    "piece-accepted",
    "piece-reply",
    "piece-cancel",
    "piece-free",
    "prompt-sent",
    "stream-origin-notice",
    "stream-origin-request",
    "stream-origin-reply",
    "crash-report",
    "crash-report-request",
    "trait-trial",
    "limit-notice",
    "limit-question",
    "limit-answer",
    "leaving-notice",
    "knowledge-request",
    "knowledge-reply",
  };
  static_assert(!kNames.back().empty());
  return kNames[aBody.index()];
}

} // namespace gypsum
