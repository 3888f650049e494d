#include "core/gateway/send_bar.h"

#include <doctest/doctest.h>

#include <array>
#include <functional>

namespace gypsum::tests {

namespace {

/** An outlook with which nothing bars the next send. */
SendOutlook OpenOutlook()
{
  SendOutlook outlook;
  outlook.sends = 1;
  outlook.maxSends = 2;
  outlook.timeLeft = kMinSendTime + Duration(1);
  outlook.hasServer = true;
  outlook.retriesLeft = 1.0;
  return outlook;
}

struct Row
{
  std::function<void(SendOutlook&)> change;
  SendBar expected = SendBar::None;
};

const std::array kTable{
  Row{ [](SendOutlook& aOutlook) { aOutlook.retriesLeft = 0.9; },
       SendBar::RetryBudgetUsed },
  Row{ [](SendOutlook& aOutlook) { aOutlook.hasServer = false; },
       SendBar::NoServer },
  Row{ [](SendOutlook& aOutlook) { aOutlook.timeLeft = kMinSendTime; },
       SendBar::TooLate },
  Row{ [](SendOutlook& aOutlook) { aOutlook.sends = 2; }, SendBar::SendsUsed },
  Row{ [](SendOutlook& aOutlook) { aOutlook.hasSuspectTrait = true; },
       SendBar::SuspectTrait },
  Row{ [](SendOutlook& aOutlook) { aOutlook.areInputsReleased = true; },
       SendBar::InputsReleased },
  Row{ [](SendOutlook& aOutlook) { aOutlook.isStopping = true; },
       SendBar::Stopping },
  Row{ [](SendOutlook& aOutlook) { aOutlook.hasClientLeft = true; },
       SendBar::ClientLeft },
};

} // namespace

TEST_CASE("[SendBar] each condition bars a further send, the gravest one first")
{
  CHECK(FindSendBar(OpenOutlook()) == SendBar::None);
  SendOutlook all = OpenOutlook();
  for (const Row& row : kTable) {
    SendOutlook one = OpenOutlook();
    row.change(one);
    CAPTURE(NameOf(row.expected));
    CHECK(FindSendBar(one) == row.expected);
    row.change(all);
    CHECK(FindSendBar(all) == row.expected);
  }
}

TEST_CASE("[SendBar] the first send draws on no retry budget")
{
  SendOutlook outlook = OpenOutlook();
  outlook.retriesLeft = 0.0;
  outlook.sends = 0;
  CHECK(FindSendBar(outlook) == SendBar::None);
}

} // namespace gypsum::tests
