#include "review/stand_ins/world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

/** Plays one case: ROOT CASE RECORD; TROUBLE=0 leaves the disruption out. */
int main(int aCount, char** aArguments)
{
  constexpr int kCannotRun = 2;
  if (aCount != 4) {
    std::fprintf(stderr, "expected ROOT CASE RECORD\n");
    return kCannotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // NOLINTNEXTLINE(concurrency-mt-unsafe): no thread has started yet.
  const char* const trouble = std::getenv("TROUBLE");
  const bool hasTrouble = !trouble || std::string(trouble) != "0";
  const std::string name = aArguments[2];
  try {
    constexpr int kGateways = 4;
    review::World world(aArguments[1], aArguments[3], kGateways);
    if (name == "planned-stops") {
      return review::RunPlannedStops(world, hasTrouble);
    }
    if (name == "late-copies") {
      return review::RunLateCopies(world, hasTrouble);
    }
    if (name == "stage-order") {
      return review::RunStageOrder(world, hasTrouble);
    }
    if (name == "last-tenant") {
      return review::RunLastTenant(world, hasTrouble);
    }
    if (name == "grey-replica") {
      return review::RunGreyReplica(world, hasTrouble);
    }
    if (name == "store-drill") {
      return review::RunStoreDrill(world, hasTrouble);
    }
    if (name == "refused-heads") {
      return review::RunRefusedHeads(world, hasTrouble);
    }
    if (name == "silent-streams") {
      return review::RunSilentStreams(world, hasTrouble);
    }
    if (name == "odd-count") {
      return review::RunOddCount(world, hasTrouble);
    }
    std::fprintf(stderr, "no such case: %s\n", name.c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot run: %s\n", error.what());
  }
  return kCannotRun;
}
