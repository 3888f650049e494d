#pragma once

#include "core/gateway/served_configuration.h"

#include <cstdint>
#include <string_view>

namespace gypsum {

/** How one send of a request to a backend server failed. */
enum class SendFailure
{
  NotConnected, ///< No byte of the request was sent.
  Rejected,     ///< The backend server states that it has not run it.
  Lost,         ///< Sent, but no usable answer: it may have run.
  Failed,       ///< The backend server ran it and answered with a failure.
  Interrupted,  ///< The stream broke off after complete events.
  HeldBack,     ///< Not sent: its server may not get a request now.
};

/** What the gateway does after a failed send. */
enum class NextStep
{
  Retry,          ///< Send to another backend server.
  Resume,         ///< Continue elsewhere after the last complete event.
  RefuseNotRun,   ///< Answer that the request has not run.
  FailUnknown,    ///< Answer that the outcome is unknown.
  ForwardFailure, ///< Pass on the backend server's failure answer.
  AbortResponse,  ///< End the answer, visibly incomplete.
};

/** State of a request when one of its sends has failed. */
struct SendState
{
  Repeatability repeatability = Repeatability::AtMostOnce;
  SendFailure failure = SendFailure::NotConnected;
  bool mayHaveRun = false;         ///< One of the sends may have run.
  bool hasResponseStarted = false; ///< The client got part of an answer.
  bool canRetry = false;           ///< Replicas, retry budget and time remain.
};

/** Decides what follows; a request that may run only once is not run twice. */
NextStep DecideNextStep(const SendState& aState);

std::string_view NameOf(SendFailure aFailure);
std::string_view NameOf(NextStep aStep);

} // namespace gypsum
