#pragma once

#include "core/error_kind.h"
#include "core/gateway/resume_policy.h"
#include "core/gateway/route_table.h"
#include "core/gateway/send_permissions.h"
#include "core/gateway/stage_plan.h"
#include "core/time.h"
#include "drivers/edge/client_connection.h"
#include "platform/client_request.h"
#include "servers/gateway/cancellation_token.h"
#include "servers/gateway/crash_service.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/** State of one client attempt while this gateway handles it. */
struct Attempt
{
  ClientConnectionPtr client;
  ClientAttempt parameters;
  RouteTablePtr routeTable; ///< Does not change during the attempt.
  const RouteSpec* route = nullptr;
  const CustomerSpec* customer = nullptr; ///< Null on a public route.
  const BackendServiceSpec* service = nullptr;
  Instant arrivedAt{};
  Duration unreadTime{};       ///< From its arrival until it was read, at most.
  Instant targetAt{};          ///< Latest first part within the target.
  Instant firstPartDeadline{}; ///< Latest first part before clients time out.
  Instant responseDeadline{};  ///< Latest end of the response.
  std::string expectedZone; ///< Zone of the expected replica; empty if unknown.
  Duration expectedFirstEvent{}; ///< From the send to the first event.
  Instant resumableUntil{};  ///< The client no longer resumes the stream then.
  ResumeTarget resumeTarget; ///< Set from the first event or a resume on.
  std::uint32_t priority = 0;
  std::string requestName; ///< Equal for each attempt of the same request.
  /** What it may have in common with others; never null. */
  std::shared_ptr<const RequestTraits> traits =
    std::make_shared<const RequestTraits>();
  std::string refusedTrait; ///< For which it was refused; may be empty.
  StagePlan plan{ {}, {} };
  CancellationToken cancellation;
  bool isAtServer = false; ///< Whether a backend server has it.

  /** The only software version that may serve it; empty for any. */
  std::optional<std::string_view> RequiredVersion() const
  {
    return resumeTarget.source == OriginSource::Unknown
             ? std::nullopt
             : std::optional<std::string_view>(resumeTarget.version);
  }

  TraitQuestion MakeTraitQuestion() const
  {
    const auto version = RequiredVersion();
    return { traits,
             service->name,
             version ? std::optional(std::string(*version)) : std::nullopt };
  }

  std::string_view CustomerName() const
  {
    return customer ? std::string_view(customer->name) : std::string_view();
  }
};

/**
 * The response to a request that was refused or has failed.
 *
 * Without `aRetryAfter`, `Retry-After` is the default of the error, if any.
 */
EdgeResponse FailureResponse(ErrorKind aKind, Duration aRetryAfter);

/** Error of a request that is refused because all servers are held. */
ErrorKind ErrorKindOf(HoldReason aReason);

/** `Retry-After` of a request with a trait that crashes servers. */
Duration RetryAfterOf(const TraitDecision& aDecision, Instant aNow);

} // namespace gypsum
