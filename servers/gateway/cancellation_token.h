#pragma once

#include <functional>
#include <utility>

namespace gypsum {

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
  bool IsCancelled() const { return isCancelled_; }

  void Cancel()
  {
    isCancelled_ = true;
    if (onCancel_) {
      // The callback may call `ClearOnCancel`.
      const auto onCancel = std::exchange(onCancel_, nullptr);
      onCancel();
    }
  }

private:
  bool isCancelled_ = false;
  std::function<void()> onCancel_;
};

} // namespace gypsum
