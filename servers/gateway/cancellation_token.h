#pragma once

#include <functional>
#include <utility>

namespace gypsum {

/** Why the work for a request has ended early. */
enum class CancelReason
{
  None,
  ClientLeft, ///< Nobody reads a response.
  Stopping,   ///< This process stops; the client still gets a response.
  StageEnded, ///< Another stage has failed.
};

/**
 * Cancels the work for one request once its response is no longer needed.
 *
 * An operation that waits registers a callback, so that it ends at once when
 * the client disconnects. Only one callback is registered at a time.
 */
class CancellationToken
{
public:
  void SetOnCancel(std::function<void()> aOnCancel)
  {
    onCancel_ = std::move(aOnCancel);
  }
  void ClearOnCancel() { onCancel_ = nullptr; }
  bool IsCancelled() const { return reason_ != CancelReason::None; }
  bool HasClientLeft() const { return reason_ == CancelReason::ClientLeft; }
  bool IsStopping() const { return reason_ == CancelReason::Stopping; }

  void Cancel(CancelReason aReason)
  {
    reason_ = aReason;
    if (onCancel_) {
      // The callback may call `ClearOnCancel`.
      const auto onCancel = std::exchange(onCancel_, nullptr);
      onCancel();
    }
  }

private:
  CancelReason reason_ = CancelReason::None;
  std::function<void()> onCancel_;
};

} // namespace gypsum
