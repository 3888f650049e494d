#pragma once

#include "core/error_kind.h"
#include "core/gateway/route_table.h"
#include "core/gateway/stage_plan.h"
#include "core/time.h"
#include "drivers/edge/client_connection.h"
#include "platform/client_request.h"
#include "servers/gateway/request_life.h"

#include <string>
#include <string_view>

namespace gypsum {

/** One attempt of a client while this gateway works on it. */
struct Attempt
{
  ClientConnectionPtr client;
  ClientAttempt said;
  RouteTablePtr table; ///< The one it began with, also after a change.
  const RouteSpec* route = nullptr;
  const CustomerSpec* customer = nullptr; ///< Null on a public route.
  const BackendServiceSpec* service = nullptr;
  Instant arrivedAt{};
  Instant targetAt{};    ///< Full credit for a first part until then.
  Instant firstPartBy{}; ///< A client that has nothing by then leaves.
  Instant endAt{};       ///< The final answer leaves by then.
  std::string homeZone;  ///< Where the request will likely run.
  Duration firstEvent{}; ///< Expected from the model replica, once sent.
  std::uint32_t priority = 0;
  StagePlan plan{ {}, {} };
  RequestLife life;

  std::string_view CustomerName() const
  {
    return customer ? std::string_view(customer->name) : std::string_view();
  }
};

/** The answer to a request that is not passed on or has failed. */
EdgeResponse FailureAnswer(ErrorKind aKind, Duration aRetryAfter);

} // namespace gypsum
