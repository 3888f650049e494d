#pragma once

#include "core/time.h"

#include <algorithm>

namespace gypsum {

/**
 * Learns how long a peer takes to answer, and so when an answer is overdue.
 *
 * Smoothed mean and mean deviation, as for retransmissions (RFC 6298): a peer
 * that is slow under load is not asked twice for that.
 */
class ResponseTime
{
public:
  ResponseTime(Duration aMinTimeout, Duration aMaxTimeout)
    : minTimeout_(aMinTimeout)
    , maxTimeout_(aMaxTimeout)
  {
  }

  void OnSample(Duration aTime)
  {
    if (!hasSample_) {
      hasSample_ = true;
      mean_ = aTime;
      deviation_ = aTime / 2;
      return;
    }
    const Duration error = aTime - mean_;
    mean_ += error / kMeanDivisor;
    deviation_ += (std::max(error, -error) - deviation_) / kDeviationDivisor;
  }

  /** No answer has come: the next one may take twice as long. */
  void OnTimeout()
  {
    mean_ = std::min(std::max(mean_, minTimeout_) * 2, maxTimeout_);
    hasSample_ = true;
  }

  Duration Timeout() const
  {
    return std::clamp(
      mean_ + deviation_ * kDeviations, minTimeout_, maxTimeout_);
  }

private:
  static constexpr int kMeanDivisor = 8;
  static constexpr int kDeviationDivisor = 4;
  static constexpr int kDeviations = 4;

  Duration minTimeout_;
  Duration maxTimeout_;
  Duration mean_{};
  Duration deviation_{};
  bool hasSample_ = false;
};

} // namespace gypsum
