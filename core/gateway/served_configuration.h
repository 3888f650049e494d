#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum {

/** How many times a request of a route may run. */
enum class Repeatability
{
  Repeatable,       ///< May run any number of times.
  AtMostOnce,       ///< Runs at most once per client attempt.
  AtMostOnceStream, ///< A stream; runs at most once per client attempt.
  ResumableStream,  ///< A stream that another replica can resume.
};

constexpr bool IsStream(Repeatability aRepeatability)
{
  return aRepeatability == Repeatability::AtMostOnceStream ||
         aRepeatability == Repeatability::ResumableStream;
}

/** A service that receives a weighted share of the requests of a route. */
struct RouteTarget
{
  std::string service;
  double weight = 1.0;
};

/** A stage of a route. It runs before the request is sent on; its results are
 * inputs of later stages or of the request. */
struct RouteStage
{
  std::string service;
  /** Indices in RouteSpec::stages of the stages whose results it reads. */
  std::vector<std::uint32_t> inputStages;
  std::uint64_t resultBytes = 0; ///< Estimated size of one result, in bytes.
};

/** One route of the configuration. */
struct RouteSpec
{
  std::string name;
  std::string host;
  std::string prefix; ///< Path prefix; begins and ends with a slash.
  Repeatability repeatability = Repeatability::AtMostOnce;
  Duration timeout{}; ///< Maximum duration of a request.
  /** Target for the time until the first part of the response. */
  Duration targetTime{};
  /** Target for the time between two events of a stream; zero for none. */
  Duration gapTarget{};
  std::uint32_t priority = 0;    ///< Zero is the most urgent.
  std::uint32_t maxReplicas = 1; ///< Replicas tried per request.
  std::vector<RouteTarget> targets;
  std::vector<RouteStage> stages;
  bool isPublic = false; ///< Requests need no API key.
};

/** Limits and costs of batched calls to one replica of a stage service. */
struct BatchSpec
{
  /** Calls that may run at the same time. */
  std::uint32_t maxRunningCalls = 1;
  /** Further calls that a replica queues. */
  std::uint32_t maxQueuedCalls = 0;
  std::uint32_t maxPieces = 1; ///< Pieces in one call.
  /** Estimated time of a call apart from its pieces. */
  Duration fixedCallTime{};
  /** Estimated time that each piece adds to a call. */
  Duration pieceTime{};
  /** Memory for results, in bytes; zero if it is not limited. */
  std::uint64_t resultCapacityBytes = 0;
  /** Time from the end of a call until its results expire. */
  Duration resultLifetime{};
};

/** Capacity of one replica of a model service. */
struct EngineSpec
{
  std::uint32_t slots = 1;
  std::uint64_t kvCapacityTokens = 0; ///< Size of the KV cache.
};

/** What the servers of a service take while they are cold. */
struct ColdStartSpec
{
  Duration time{};        ///< Usual time from a start until a server is warm.
  double perSecond = 0.0; ///< Requests from all gateways together.

  bool operator==(const ColdStartSpec&) const = default;
};

/** A service of the configuration. */
struct BackendServiceSpec
{
  std::string name;
  std::uint32_t maxConnections = 0; ///< Per replica, over all callers.
  std::optional<BatchSpec> batches;
  std::optional<EngineSpec> engine;
  std::optional<ColdStartSpec> coldStart; ///< Empty: no rate while cold.
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
  /** If true, requests on routes that are not public need an API key, also if
   * no key is known. */
  bool hasCustomers = false;
  ClientLimits limits;
};

using ServedConfigurationPtr = std::shared_ptr<const ServedConfiguration>;

} // namespace gypsum
