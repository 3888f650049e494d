#include "core/error_kind.h"

#include <array>
#include <cstddef>

namespace gypsum {

namespace {

using std::chrono::seconds;

constexpr std::array kResponses{
  ErrorResponse{ ErrorKind::None, "none", 200, {}, "complete" },
  ErrorResponse{ ErrorKind::BadRequest, "bad-request", 400, {}, "malformed" },
  ErrorResponse{ ErrorKind::UnknownPath,
                 "unknown-path",
                 404,
                 {},
                 "no such path" },
  ErrorResponse{ ErrorKind::UnknownPipeline,
                 "unknown-pipeline",
                 404,
                 {},
                 "no such pipeline" },
  ErrorResponse{ ErrorKind::UnknownCustomer,
                 "unknown-customer",
                 403,
                 {},
                 "no such customer" },
  ErrorResponse{ ErrorKind::UnknownKey,
                 "unknown-key",
                 401,
                 {},
                 "no customer has this key" },
  ErrorResponse{
    ErrorKind::ConfigurationOutdated,
    "configuration-outdated",
    503,
    seconds(1),
    "no such route or key, by a configuration that may be out of date" },
  ErrorResponse{ ErrorKind::MissingKey,
                 "missing-key",
                 400,
                 {},
                 "Idempotency-Key is missing" },
  ErrorResponse{ ErrorKind::KeyConflict,
                 "key-conflict",
                 409,
                 {},
                 "the key was used with another body" },
  ErrorResponse{ ErrorKind::KeyFromFuture,
                 "key-from-future",
                 400,
                 {},
                 "the time in the key lies ahead of this clock" },
  ErrorResponse{ ErrorKind::BodyTooLarge,
                 "body-too-large",
                 413,
                 {},
                 "too large" },
  ErrorResponse{ ErrorKind::HeaderTooLarge,
                 "header-too-large",
                 431,
                 {},
                 "the header is too large" },
  ErrorResponse{ ErrorKind::LengthRequired,
                 "length-required",
                 411,
                 {},
                 "no length given" },
  ErrorResponse{ ErrorKind::RequestTimeout,
                 "request-timeout",
                 408,
                 {},
                 "the body came too slowly" },
  ErrorResponse{ ErrorKind::NotReady,
                 "not-ready",
                 503,
                 seconds(2),
                 "no manifest in force" },
  ErrorResponse{ ErrorKind::Stopping,
                 "stopping",
                 503,
                 seconds(1),
                 "this process stops" },
  ErrorResponse{ ErrorKind::Overloaded,
                 "overloaded",
                 503,
                 seconds(1),
                 "overload" },
  ErrorResponse{ ErrorKind::DeadlineTooShort,
                 "deadline-too-short",
                 503,
                 seconds(1),
                 "the predicted finish misses the deadline" },
  ErrorResponse{ ErrorKind::NoReplica,
                 "no-replica",
                 503,
                 seconds(2),
                 "no replica is reachable" },
  ErrorResponse{ ErrorKind::OriginUnknown,
                 "origin-unknown",
                 503,
                 {},
                 "no gateway knows which software version began the stream" },
  ErrorResponse{ ErrorKind::VersionGone,
                 "version-gone",
                 503,
                 {},
                 "no replica of the version that began the stream serves" },
  ErrorResponse{ ErrorKind::CrashingRequest,
                 "crashing-request",
                 503,
                 seconds(60),
                 "the request or a part of its prompt crashes replicas" },
  ErrorResponse{
    ErrorKind::SuspectRequest,
    "suspect-request",
    503,
    seconds(1),
    "replicas have crashed on the request or a part of its prompt, "
    "and another one tries it" },
  ErrorResponse{ ErrorKind::ServerLimit,
                 "server-limit",
                 503,
                 seconds(1),
                 "the limits that the replicas have named leave no place" },
  ErrorResponse{ ErrorKind::ServersResting,
                 "servers-resting",
                 503,
                 seconds(1),
                 "the replicas have asked for rest" },
  ErrorResponse{ ErrorKind::ZonesEvacuated,
                 "zones-evacuated",
                 503,
                 seconds(1),
                 "all zones with replicas of a service are evacuated" },
  ErrorResponse{ ErrorKind::RecordsFull,
                 "records-full",
                 503,
                 seconds(5),
                 "no room for another execution record" },
  ErrorResponse{ ErrorKind::DeadlineExceeded,
                 "deadline-exceeded",
                 504,
                 seconds(1),
                 "the deadline passed" },
  ErrorResponse{ ErrorKind::OwnerUnreachable,
                 "owner-unreachable",
                 503,
                 seconds(2),
                 "the owner of the key is not reachable" },
  ErrorResponse{ ErrorKind::OwnerForgot,
                 "owner-forgot",
                 503,
                 seconds(30),
                 "the owner restarted and cannot tell whether the key ran" },
  ErrorResponse{ ErrorKind::OwnerMoving,
                 "owner-moving",
                 503,
                 seconds(2),
                 "a former owner of the key has not released it yet" },
  ErrorResponse{ ErrorKind::NotOwner,
                 "not-owner",
                 503,
                 seconds(1),
                 "the replica does not own the key by its manifest" },
  ErrorResponse{ ErrorKind::BackendFailed,
                 "backend-failed",
                 502,
                 seconds(1),
                 "failed" },
  ErrorResponse{ ErrorKind::CorruptResult,
                 "corrupt-result",
                 502,
                 seconds(1),
                 "length or checksum does not match" },
  ErrorResponse{ ErrorKind::Internal, "internal", 500, seconds(1), "internal" },
};

constexpr bool IsInEnumOrder()
{
  for (std::size_t index = 0; index < kResponses.size(); ++index) {
    if (static_cast<std::size_t>(kResponses[index].kind) != index) {
      return false;
    }
  }
  return true;
}

static_assert(IsInEnumOrder());
static_assert(kResponses.size() ==
              static_cast<std::size_t>(ErrorKind::Internal) + 1);

} // namespace

std::span<const ErrorResponse> ErrorResponses()
{
  return kResponses;
}

const ErrorResponse& ErrorResponseOf(ErrorKind aKind)
{
  return kResponses[static_cast<std::size_t>(aKind)];
}

std::string_view NameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Complete:
      return "complete";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

} // namespace gypsum
