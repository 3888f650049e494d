#pragma once

#include "kernel/control_thread.h"

#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace gypsum {

/** Maximum time that a traffic thread waits for the control thread. */
constexpr std::chrono::seconds kControlThreadTimeout{ 5 };

/**
 * Runs a function on the control thread and waits for its result.
 *
 * Nothing after the timeout; the function may still run later.
 */
template<typename Function>
auto CallOnControlThread(ControlThread& aControl, Function aFunction)
  -> std::optional<decltype(aFunction())>
{
  using Value = decltype(aFunction());
  const auto promise = std::make_shared<std::promise<Value>>();
  auto future = promise->get_future();
  aControl.Post([promise, function = std::move(aFunction)] {
    promise->set_value(function());
  });
  if (future.wait_for(kControlThreadTimeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

} // namespace gypsum
