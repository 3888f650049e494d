#pragma once

#include "core/gateway/served_configuration.h"

#include <cstdint>
#include <string_view>

namespace gypsum {

/** How one send of a request to a backend server ended without success. */
enum class SendFailure
{
  NotConnected, ///< No byte of the request left.
  Rejected,     ///< The backend server said that it has not run it.
  Lost,         ///< Sent, but no usable answer: it may have run.
  Failed,       ///< The backend server answered with a failure: it has run.
  Interrupted,  ///< A stream that broke off after whole events.
};

/** What follows. */
enum class NextStep
{
  Retry,          ///< To another backend server.
  Resume,         ///< At another backend server, after the last whole event.
  RefuseNotRun,   ///< Answer that the request has not run.
  FailUnknown,    ///< Answer that the outcome is not known.
  ForwardFailure, ///< Answer as the backend server did.
  AbortResponse,  ///< End the answer visibly incomplete.
};

/** What is known when a send has ended. */
struct SendState
{
  Repeatability kind = Repeatability::AtMostOnce;
  SendFailure end = SendFailure::NotConnected;
  bool mayHaveRun = false;  ///< Some earlier send may have run.
  bool hasAnswered = false; ///< Part of an answer has left for the client.
  bool canSendMore = false; ///< Replicas, budget and time are left.
};

/** The table from what is known of a send to what follows. */
NextStep DecideNextStep(const SendState& aState);

std::string_view NameOf(SendFailure aEnd);
std::string_view NameOf(NextStep aStep);

} // namespace gypsum
