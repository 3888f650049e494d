#pragma once

#include "core/error_kind.h"
#include "core/replay/trace.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gypsum {

/** Result of one arrival. */
struct ReplayedRequest
{
  bool isAnswered = false;
  Outcome outcome = Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  Duration deadline{}; ///< Relative deadline of the pipeline.
  Duration elapsed{};
  Duration retryAfter{};
  Duration timeToFirstToken{}; ///< Time from the arrival; 0 if there was none.
  double cachedShare = 0;      ///< Cached share of the last generation's input.
  Duration tokenInterval{};    ///< Time between tokens in the last generation.

  bool IsInTime() const
  {
    return isAnswered && outcome == Outcome::Complete && elapsed <= deadline;
  }
};

/** One execution of a stage at a backend server. */
struct ReplayedCall
{
  std::size_t request = 0;    ///< Index of the arrival.
  std::string stage;          ///< Operation at the backend server.
  Duration work{};            ///< Processing time used.
  bool isInterrupted = false; ///< Cancelled or failed before completion.
};

/** Requests and backend calls recorded by one replay. */
struct ReplayRecord
{
  std::vector<ReplayedRequest> requests; ///< One for each arrival.
  std::vector<ReplayedCall> calls;
  std::size_t sentStages = 0;    ///< Stage requests sent by entries.
  std::size_t retriedStages = 0; ///< Stage requests after the first of a stage.
};

} // namespace gypsum
