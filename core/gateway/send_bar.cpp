#include "core/gateway/send_bar.h"

#include <array>
#include <cstddef>

namespace gypsum {

std::string_view NameOf(SendBar aBar)
{
  constexpr std::array<std::string_view, 9> kNames{ "none",
                                                    "client-left",
                                                    "stopping",
                                                    "inputs-released",
                                                    "suspect-trait",
                                                    "sends-used",
                                                    "too-late",
                                                    "no-server",
                                                    "retry-budget-used" };
  return kNames[static_cast<std::size_t>(aBar)];
}

SendBar FindSendBar(const SendOutlook& aOutlook)
{
  if (aOutlook.hasClientLeft) {
    return SendBar::ClientLeft;
  }
  if (aOutlook.isStopping) {
    return SendBar::Stopping;
  }
  if (aOutlook.areInputsReleased) {
    return SendBar::InputsReleased;
  }
  if (aOutlook.hasSuspectTrait) {
    return SendBar::SuspectTrait;
  }
  if (aOutlook.sends >= aOutlook.maxSends) {
    return SendBar::SendsUsed;
  }
  if (aOutlook.timeLeft <= kMinSendTime) {
    return SendBar::TooLate;
  }
  if (!aOutlook.hasServer) {
    return SendBar::NoServer;
  }
  if (aOutlook.sends > 0 && aOutlook.retriesLeft < 1.0) {
    return SendBar::RetryBudgetUsed;
  }
  return SendBar::None;
}

} // namespace gypsum
