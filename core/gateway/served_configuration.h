#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum {

/** What may be done a second time with a request of a route. */
enum class Repeatability
{
  Repeatable,    ///< May run any number of times.
  AtMostOnce,    ///< One run for each attempt of a client.
  OnceStream,    ///< A stream that may run once.
  ResumedStream, ///< A stream that another replica may go on with.
};

constexpr bool IsStream(Repeatability aKind)
{
  return aKind == Repeatability::OnceStream ||
         aKind == Repeatability::ResumedStream;
}

/** A share of a route's requests that goes to one service. */
struct RouteTarget
{
  std::string service;
  double weight = 1.0;
};

/** Work that a route needs before its request may run. */
struct RouteStage
{
  std::string service;
  std::vector<std::uint32_t> after; ///< Stages whose results it reads.
  std::uint64_t resultBytes = 0;    ///< About; of one piece.
};

/** One route of the configuration. */
struct RouteSpec
{
  std::string name;
  std::string host;
  std::string prefix; ///< Begins and ends with a slash.
  Repeatability kind = Repeatability::AtMostOnce;
  Duration timeout{};         ///< Longest time a client is kept waiting.
  Duration target{};          ///< Within which an answer earns full credit.
  Duration gapTarget{};       ///< Longest pause between events; zero: none.
  std::uint32_t priority = 0; ///< Zero is the most urgent.
  std::uint32_t maxReplicas = 1;
  std::vector<RouteTarget> targets;
  std::vector<RouteStage> stages;
  bool isPublic = false;
};

/** How the replicas of a stage service take batches of pieces. */
struct BatchSpec
{
  std::uint32_t calls = 1;   ///< Calls worked on at the same time.
  std::uint32_t waiting = 0; ///< Calls that may wait.
  std::uint32_t maxPieces = 1;
  Duration fixedCallTime{};      ///< Fixed part of one call.
  Duration pieceTime{};          ///< About; for each piece of a call.
  std::uint64_t resultBytes = 0; ///< Memory for results.
  Duration resultLifetime{};     ///< A result is kept so long after its call.
};

/** How the replicas of a model service read and hold prompts. */
struct EngineSpec
{
  std::uint32_t slots = 1;
  std::uint64_t kvCapacityTokens = 0;
};

/** One service of the configuration. */
struct BackendServiceSpec
{
  std::string name;
  std::uint32_t maxConnections = 0; ///< To one replica, of all callers.
  std::optional<BatchSpec> batches;
  std::optional<EngineSpec> engine;
};

/** What a client may send, and how slowly. */
struct ClientLimits
{
  std::uint32_t headerBytes = 16'384;
  std::uint64_t bodyBytes = 4'194'304;
  Duration headerTime = std::chrono::seconds(3);
  Duration idleTime = std::chrono::seconds(15);
};

/** A customer, as one of its keys finds it. */
struct CustomerSpec
{
  std::string name;
  std::optional<std::uint32_t> priority; ///< Goes before the route's.
};

/** One version of the configuration; immutable once built. */
struct ServedConfiguration
{
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<std::string, BackendServiceSpec, std::less<>> services;
  std::map<std::string, CustomerSpec, std::less<>> customersByKey;
  bool hasCustomers = false; ///< Requests must carry a key.
  ClientLimits limits;
};

using ServedConfigurationPtr = std::shared_ptr<const ServedConfiguration>;

} // namespace gypsum
