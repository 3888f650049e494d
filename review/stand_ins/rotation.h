#pragma once

#include "review/stand_ins/world.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** The gateways to which the platform's balancer forwards connections. */
class Rotation
{
public:
  explicit Rotation(World& aWorld)
    : world_(aWorld)
    , misses_(aWorld.Gateways().size(), 0)
    , thread_([this] { Poll(); })
  {
  }
  ~Rotation()
  {
    isStopping_ = true;
    thread_.join();
  }
  Rotation(const Rotation&) = delete;
  Rotation& operator=(const Rotation&) = delete;

  std::string Choose(unsigned aNumber)
  {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> hosts;
    for (std::size_t index = 0; index < misses_.size(); ++index) {
      if (misses_[index] < 2) {
        hosts.push_back(world_.Gateways()[index]->Host());
      }
    }
    return hosts.empty() ? world_.Gateways().front()->Host()
                         : hosts[aNumber % hosts.size()];
  }

private:
  void Poll()
  {
    while (!isStopping_) {
      for (std::size_t index = 0; index < misses_.size(); ++index) {
        const bool isReady = world_.IsReady(*world_.Gateways()[index]);
        const std::lock_guard lock(mutex_);
        misses_[index] = isReady ? 0 : misses_[index] + 1;
      }
      std::this_thread::sleep_for(Milliseconds(1'000));
    }
  }

  World& world_;
  std::mutex mutex_;
  std::vector<int> misses_;
  std::atomic<bool> isStopping_ = false;
  std::thread thread_;
};

} // namespace review
