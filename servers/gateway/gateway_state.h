#pragma once

#include "core/gateway/backend_limits.h"
#include "core/gateway/backend_loads.h"
#include "core/gateway/backend_registry.h"
#include "core/gateway/backend_rests.h"
#include "core/gateway/cold_backends.h"
#include "core/gateway/gateway_retry_budget.h"
#include "core/gateway/gateway_settings.h"
#include "core/gateway/held_requests.h"
#include "core/gateway/limit_blocks.h"
#include "core/gateway/loop_lag.h"
#include "core/gateway/prefix_cache_index.h"
#include "core/gateway/route_table.h"
#include "core/gateway/send_allowances.h"
#include "core/gateway/send_permissions.h"
#include "core/gateway/service_versions.h"
#include "core/gateway/stop_schedule.h"
#include "core/gateway/store_knowledge.h"
#include "core/gateway/zone_evacuations.h"
#include "core/identity.h"
#include "drivers/edge/backend_pool.h"
#include "drivers/event_log.h"
#include "servers/gateway/gateway_metrics.h"
#include "servers/gateway/task_guard.h"
#include "servers/gateway/work_meter.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <random>
#include <string>

namespace gypsum {

/** State shared by the components of a gateway; used on its event loop. */
struct GatewayState
{
  GatewayState(boost::asio::io_context& aLoop,
               GatewaySettings aSettings,
               ProcessId aSelf,
               EventLog& aLog)
    : loop(aLoop)
    , settings(std::move(aSettings))
    , self(std::move(aSelf))
    , log(aLog)
    , configurationKnowledge(settings.peerAddress,
                             self.incarnation,
                             settings.processorShare)
    , backendKnowledge(settings.peerAddress,
                       self.incarnation,
                       settings.processorShare)
    , evacuationKnowledge(settings.peerAddress,
                          self.incarnation,
                          settings.processorShare)
    , retryBudget(settings.retryBudget)
    , pool(aLoop.get_executor())
  {
  }

  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  StoreKnowledge& Knowledge(StorePart aPart)
  {
    switch (aPart) {
      case StorePart::Backends:
        return backendKnowledge;
      case StorePart::Evacuations:
        return evacuationKnowledge;
      case StorePart::Configuration:
        break;
    }
    return configurationKnowledge;
  }
  /** Whether enough of the store is known to serve requests. */
  bool KnowsEnoughToServe() const
  {
    return routes != nullptr && zones.Version().revision > 0;
  }
  bool IsStopping() const { return stop.has_value(); }
  /** Whether requests may still be sent to backend servers. */
  bool MaySend(Instant aNow) const { return !stop || aNow < stop->SendUntil(); }
  /** A random number from 0 to 1. */
  double DrawFraction()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
  }

  boost::asio::io_context& loop;
  GatewaySettings settings;
  ProcessId self;
  EventLog& log;
  RouteTablePtr routes;          ///< Null until a configuration is known.
  std::string configurationText; ///< As published; sent to peers on request.
  StoreKnowledge configurationKnowledge;
  StoreKnowledge backendKnowledge;
  StoreKnowledge evacuationKnowledge;
  BackendRegistry registry;
  ZoneEvacuations zones; ///< Applied to the registry with each change.
  ServiceVersions versions;
  BackendLoads loads;
  BackendLimits limits;
  LimitBlocks limitBlocks;
  BackendRests rests;
  HeldRequests heldRequests;
  ColdBackends coldBackends{ registry };
  SendAllowances allowances{ limits, coldBackends };
  SendPermissions permissions{ registry, allowances, limitBlocks, rests };
  PrefixCacheIndex prefixes;
  GatewayRetryBudget retryBudget;
  BackendPool pool;
  GatewayMetrics metrics;
  WorkMeter work;
  TaskGuard tasks{ loop, log, metrics };
  LoopLag loopLag; ///< Of the rounds of knowledge, several times a second.
  std::minstd_rand random{ static_cast<std::uint_fast32_t>(self.incarnation) };
  Instant lastStoreResponseAt{};    ///< Last successful response of the store.
  std::optional<StopSchedule> stop; ///< Empty unless stopping.
};

} // namespace gypsum
