#pragma once

#include "core/time.h"

#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/** What a caller may conclude about the effects of its request. */
enum class Outcome
{
  Complete, ///< Every stage finished and the answer is whole.
  NotRun,   ///< No stage started and none ever will for this attempt.
  Unknown,  ///< Some stage started or may have started.
};

/** The closed list of reasons for which a request is not answered whole. */
enum class ErrorKind
{
  None,
  BadRequest,
  UnknownPath,
  UnknownPipeline,
  UnknownCustomer,
  UnknownKey,
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

/** One row of the table from error kind to answer. */
struct ErrorResponse
{
  ErrorKind kind;
  std::string_view name; ///< Value of the `Gypsum-Error` header.
  unsigned httpStatus;
  Duration retryAfter; ///< Zero where asking again cannot help.
  std::string_view text;
};

/** A failure with what was expected and what was found. */
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string text;
  Duration retryAfter{}; ///< Zero takes the value of the table.
};

/** The whole table, in the order of `ErrorKind`. */
std::span<const ErrorResponse> ErrorResponses();

/** The row of one kind. */
const ErrorResponse& ErrorResponseOf(ErrorKind aKind);

/** The name of an outcome as callers read it. */
std::string_view NameOf(Outcome aOutcome);

} // namespace gypsum
