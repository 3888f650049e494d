#pragma once

#include "core/fleet/follower_events.h"

#include <boost/json/fwd.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace gypsum {

class HttpClient;
class Kernel;

/**
 * Reads the platform's configuration service and VM list when told to.
 *
 * A watch may wait for long, so each kind of read has a thread of its own.
 */
class PlatformWatcher
{
public:
  /** Called on a thread of the watcher. */
  using ManifestHandler = std::function<void(ManifestReadResult)>;
  using ListHandler = std::function<void(VmListReadResult)>;

  explicit PlatformWatcher(std::vector<std::string> aAddresses);
  ~PlatformWatcher();
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  void SetManifestHandler(ManifestHandler aHandler);
  void SetListHandler(ListHandler aHandler);
  /** Starts a read; its result goes to the handler. */
  void Read(ReadManifest aOrder);
  void Read(ReadVmList aOrder);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  template<typename Order>
  void Loop(std::optional<Order>& aOrder);
  template<typename Order>
  std::optional<Order> WaitFor(std::optional<Order>& aOrder);
  bool Execute(HttpClient& aClient, const ReadManifest& aOrder);
  bool Execute(HttpClient& aClient, const ReadVmList& aOrder);

  std::vector<std::string> addresses_;
  ManifestHandler onManifest_;
  ListHandler onList_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool isStopping_ = false;
  std::optional<ReadManifest> manifestOrder_;
  std::optional<ReadVmList> listOrder_;
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> failures_ = 0;
  std::vector<std::thread> threads_;
};

} // namespace gypsum
