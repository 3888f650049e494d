#pragma once

#include "core/time.h"

#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/** Tells the caller whether its request may have had effects. */
enum class Outcome
{
  Complete, ///< Every stage finished and the answer is complete.
  NotRun,   ///< No stage of this attempt has started or will start.
  Unknown,  ///< At least one stage started or may have started.
};

/** Reasons why a request gets no complete answer. */
enum class ErrorKind
{
  None,
  BadRequest,
  UnknownPath,
  UnknownPipeline,
  UnknownCustomer,
  UnknownKey,
  ConfigurationOutdated,
  MissingKey,
  KeyConflict,
  KeyFromFuture,
  BodyTooLarge,
  HeaderTooLarge,
  LengthRequired,
  RequestTimeout,
  NotReady,
  Stopping,
  Overloaded,
  DeadlineTooShort,
  NoReplica,
  OriginUnknown,
  VersionGone,
  CrashingRequest,
  SuspectRequest,
  ServerLimit,
  ServersResting,
  ZonesEvacuated,
  RecordsFull,
  DeadlineExceeded,
  OwnerUnreachable,
  OwnerForgot,
  OwnerMoving,
  NotOwner,
  BackendFailed,
  CorruptResult,
  Internal,
};

/** HTTP response to one kind of error. */
struct ErrorResponse
{
  ErrorKind kind;
  std::string_view name; ///< Value of the `Gypsum-Error` header.
  unsigned httpStatus;
  Duration retryAfter; ///< Zero if a retry cannot succeed.
  std::string_view text;
};

/** A failure; the text gives the expected and the actual value. */
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string text;
  Duration retryAfter{}; ///< Zero: use the value from `ErrorResponses()`.
};

/** Responses to all kinds of errors, in the order of `ErrorKind`. */
std::span<const ErrorResponse> ErrorResponses();

const ErrorResponse& ErrorResponseOf(ErrorKind aKind);

/** Outcome name as used in response headers and metric labels. */
std::string_view NameOf(Outcome aOutcome);

} // namespace gypsum
