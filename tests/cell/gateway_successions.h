#pragma once

#include "tests/cell/cell.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace gypsum::tests {

/**
 * Starts gateway processes anew under their addresses while their predecessors
 * are still there: draining, or frozen and killed later.
 */
class GatewaySuccessions
{
public:
  GatewaySuccessions(Cell& aCell, std::uint64_t aSeed)
    : cell_(aCell)
    , random_(aSeed)
  {
  }

  /** What was begun, and at which gateways. */
  struct Begun
  {
    std::string name;
    std::vector<std::size_t> gateways;
  };
  /** Draws and begins a succession, of one gateway or of all at once. */
  Begun Begin();
  /** Kills the predecessors whose time is over, as the platform does; all of
   * them if `aIsEnd`. Returns the gateways whose ports are free since then. */
  std::vector<std::size_t> EndPredecessors(bool aIsEnd);
  /** Predecessors that ended in another way than they were told to. */
  const std::vector<std::string>& UnexpectedEnds() const
  {
    return unexpectedEnds_;
  }
  /** Why the end of a gateway process is unexpected; empty if it is not. */
  static std::string DescribeEnd(const std::string& aLogFile, int aCode);

private:
  struct Predecessor
  {
    std::unique_ptr<ChildProcess> process;
    std::size_t gateway = 0;
    Instant killAt{};
  };

  /** Ends the process of a gateway in the drawn way and starts another one. */
  void Succeed(std::size_t aGateway, std::uint64_t aWay);

  Cell& cell_;
  std::mt19937_64 random_;
  std::vector<Predecessor> predecessors_;
  std::vector<std::string> unexpectedEnds_;
};

} // namespace gypsum::tests
