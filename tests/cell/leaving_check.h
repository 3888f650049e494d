#pragma once

#include "tests/cell/cell_replica.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace gypsum::tests {

/** Time after which a server that a gateway knows to leave gets nothing more
 * from it, set by the operators. */
constexpr Duration kLeavingDrain = std::chrono::milliseconds(2'000);

/** What each gateway has passed on of servers that said that they leave. */
class LeavingCheck
{
public:
  /** A gateway has passed a response with that word on. */
  void OnPassedOn(std::size_t aGateway,
                  const CellExecution& aExecution,
                  Instant aAt)
  {
    const auto [found, isNew] =
      passedOnAt_.try_emplace(KeyOf(aGateway, aExecution), aAt);
    found->second = std::min(found->second, aAt);
  }

  /** Since when the gateway must not send to the server of an execution a
   * request that its client sent then; the clock's maximum if never. */
  Instant PassedOnAt(std::size_t aGateway,
                     const CellExecution& aExecution) const
  {
    const auto found = passedOnAt_.find(KeyOf(aGateway, aExecution));
    return found == passedOnAt_.end() ? Instant::max() : found->second;
  }

private:
  using Key = std::tuple<std::size_t, std::string, std::uint64_t>;

  static Key KeyOf(std::size_t aGateway, const CellExecution& aExecution)
  {
    return { aGateway, aExecution.replica, aExecution.incarnation };
  }

  std::map<Key, Instant> passedOnAt_;
};

} // namespace gypsum::tests
