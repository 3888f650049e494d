#pragma once

#include "core/gateway/backend_loads.h"
#include "core/gateway/backend_registry.h"
#include "core/gateway/batch_queue.h"
#include "core/gateway/prefix_cache_index.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsum {

/** How long a new job waits at the queue of a stage service. */
struct ServiceWait
{
  std::string service;
  std::uint32_t priority = 0;
  Duration wait{};
};

/** What a gateway tells its peers of itself several times a second. */
struct GatewayStatus
{
  std::string address; ///< Where peers reach the sender.
  std::string zone;
  bool isLeaving = false;
  double processorShare = 1.0;
  std::uint64_t registryRevision = 0;
  Duration storeAge{};            ///< Since the store last answered it.
  std::vector<std::string> peers; ///< Addresses that it hears from.
  std::vector<BackendLoad> loads;
  std::vector<ServiceWait> waits; ///< Of the queues that it owns.
  std::vector<PrefixRead> reads;  ///< That it asked for lately.
};

/** A long prompt went to a model replica just now; news would come late. */
struct PromptSent
{
  std::string backend;
  std::uint64_t tokens = 0; ///< That the replica has to read.
};

/** Asks a peer for its registry of backend servers. */
struct RegistryRequest
{};

struct RegistryReply
{
  RegistrySnapshot list;
};

/** Asks the owner of a stage service's queue for pieces. */
struct PieceRequest
{
  std::string service;
  PieceJob job;     ///< Its times are not set.
  Duration dueIn{}; ///< May be negative.
  Duration latestIn{};
};

/** The job is in the queue. */
struct PieceAccepted
{
  PieceJobId id;
};

/** The job has ended. */
struct PieceReply
{
  PieceJobEnd end;
};

/** The pieces are not needed any more. */
struct PieceCancel
{
  std::string service;
  PieceJobId id;
};

/** Results that nobody reads any more; the owner gives them up. */
struct PieceFree
{
  std::string service;
  std::vector<std::string> handles;
};

} // namespace gypsum
