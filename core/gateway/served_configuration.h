#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum {

/** How often a request of a route may run. */
enum class Repeatability
{
  Repeatable,    ///< May run any number of times.
  AtMostOnce,    ///< Runs at most once per client attempt.
  OnceStream,    ///< A stream that runs at most once.
  ResumedStream, ///< A stream that another replica can resume.
};

constexpr bool IsStream(Repeatability aKind)
{
  return aKind == Repeatability::OnceStream ||
         aKind == Repeatability::ResumedStream;
}

/** A service that receives a weighted share of the requests of a route. */
struct RouteTarget
{
  std::string service;
  double weight = 1.0;
};

/** A stage that must finish before the request of a route runs. */
struct RouteStage
{
  std::string service;
  std::vector<std::uint32_t> after; ///< Stages whose results it reads.
  std::uint64_t resultBytes = 0;    ///< Estimated size of one result, in bytes.
};

/** One route of the configuration. */
struct RouteSpec
{
  std::string name;
  std::string host;
  std::string prefix; ///< Path prefix; begins and ends with a slash.
  Repeatability kind = Repeatability::AtMostOnce;
  Duration timeout{};         ///< Maximum duration of a request.
  Duration target{};          ///< Answer time that still earns full credit.
  Duration gapTarget{};       ///< Target for gaps between events; zero: none.
  std::uint32_t priority = 0; ///< Zero is the most urgent.
  std::uint32_t maxReplicas = 1; ///< Replicas tried per request.
  std::vector<RouteTarget> targets;
  std::vector<RouteStage> stages;
  bool isPublic = false; ///< Requests need no API key.
};

/** Limits and costs of batched calls to one replica of a stage service. */
struct BatchSpec
{
  std::uint32_t calls = 1;   ///< Calls that run at the same time.
  std::uint32_t waiting = 0; ///< Further calls that a replica queues.
  std::uint32_t maxPieces = 1;
  Duration fixedCallTime{};      ///< Fixed cost of a call, whatever its pieces.
  Duration pieceTime{};          ///< Estimated cost of each piece in a call.
  std::uint64_t resultBytes = 0; ///< Memory for results, in bytes.
  Duration resultLifetime{};     ///< Results expire this long after their call.
};

/** Capacity of one replica of a model service. */
struct EngineSpec
{
  std::uint32_t slots = 1;
  std::uint64_t kvCapacityTokens = 0; ///< Size of the KV cache.
};

/** A service of the configuration. */
struct BackendServiceSpec
{
  std::string name;
  std::uint32_t maxConnections = 0; ///< Per replica, over all callers.
  std::optional<BatchSpec> batches;
  std::optional<EngineSpec> engine;
};

/** Limits on the size and duration of client requests. */
struct ClientLimits
{
  std::uint32_t headerBytes = 16'384;
  std::uint64_t bodyBytes = 4'194'304;
  Duration headerTime = std::chrono::seconds(3);
  Duration idleTime = std::chrono::seconds(15);
};

/** A customer; found by any of its API keys. */
struct CustomerSpec
{
  std::string name;
  std::optional<std::uint32_t> priority; ///< Overrides that of the route.
};

/** One version of the configuration; immutable once built. */
struct ServedConfiguration
{
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<std::string, BackendServiceSpec, std::less<>> services;
  std::map<std::string, CustomerSpec, std::less<>> customersByKey;
  bool hasCustomers = false; ///< Routes that are not public need an API key.
  ClientLimits limits;
};

using ServedConfigurationPtr = std::shared_ptr<const ServedConfiguration>;

} // namespace gypsum
