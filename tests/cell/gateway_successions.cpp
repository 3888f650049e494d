#include "tests/cell/gateway_successions.h"

#include "drivers/clock.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

/** How a predecessor ends: at once, or late. */
constexpr std::array<std::string_view, 3> kWays{ "killed",
                                                 "draining",
                                                 "frozen" };
constexpr std::uint64_t kKilled = 0;
constexpr std::uint64_t kDraining = 1;
/** The grace period of the cell's gateways, after which they are killed. */
constexpr milliseconds kGraceTime{ 4'000 };
constexpr milliseconds kLongestFreeze{ 1'500 };
/** One of so many successions is of all gateways at once. */
constexpr std::uint64_t kSuccessionsPerRestartOfAll = 3;
constexpr int kKilledCode = 128 + SIGKILL;
/** Told to stop before its handlers were set. */
constexpr int kTerminatedCode = 128 + SIGTERM;
/** Told to read its settings anew before its handlers were set. */
constexpr int kReloadedCode = 128 + SIGHUP;

} // namespace

std::string GatewaySuccessions::DescribeEnd(const std::string& aLogFile,
                                            int aCode)
{
  constexpr std::array kExpected{
    0, kKilledCode, kTerminatedCode, kReloadedCode
  };
  return std::ranges::find(kExpected, aCode) != kExpected.end()
           ? ""
           : "a gateway ended by itself with code " + std::to_string(aCode) +
               ": " + aLogFile;
}

GatewaySuccessions::Begun GatewaySuccessions::Begin()
{
  const std::uint64_t way = random_() % kWays.size();
  Begun begun{ "succession-" + std::string(kWays[way]), {} };
  if (random_() % kSuccessionsPerRestartOfAll == 0) {
    begun.name += "-all";
    begun.gateways.resize(cell_.Gateways().size());
    std::iota(begun.gateways.begin(), begun.gateways.end(), 0);
  } else {
    begun.gateways.push_back(random_() % cell_.Gateways().size());
  }
  for (const std::size_t gateway : begun.gateways) {
    Succeed(gateway, way);
  }
  return begun;
}

void GatewaySuccessions::Succeed(std::size_t aGateway, std::uint64_t aWay)
{
  CellGateway& gateway = cell_.Gateways()[aGateway];
  const Instant now = Now().steady;
  Predecessor predecessor{ std::move(gateway.process), aGateway, now };
  if (aWay == kKilled) {
    predecessor.process->Signal(SIGKILL);
  } else if (aWay == kDraining) {
    predecessor.process->Signal(SIGTERM);
    predecessor.killAt = now + kGraceTime;
  } else {
    predecessor.process->Signal(SIGSTOP);
    predecessor.killAt =
      now + milliseconds(random_() %
                         static_cast<std::uint64_t>(kLongestFreeze.count()));
  }
  cell_.StartGateway(gateway);
  predecessors_.push_back(std::move(predecessor));
}

std::vector<std::size_t> GatewaySuccessions::EndPredecessors(bool aIsEnd)
{
  const Instant now = Now().steady;
  std::vector<std::size_t> freed;
  std::erase_if(predecessors_, [&](Predecessor& aPredecessor) {
    if (!aIsEnd && now < aPredecessor.killAt &&
        aPredecessor.process->IsRunning()) {
      return false;
    }
    aPredecessor.process->Signal(SIGKILL);
    const std::string end =
      DescribeEnd(cell_.Gateways()[aPredecessor.gateway].logFile,
                  aPredecessor.process->Wait());
    if (!end.empty()) {
      unexpectedEnds_.push_back(end);
    }
    freed.push_back(aPredecessor.gateway);
    return true;
  });
  return freed;
}

} // namespace gypsum::tests
