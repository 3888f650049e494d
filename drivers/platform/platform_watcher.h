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
 * Reads the platform's configuration service and VM list on request.
 *
 * A manifest read may be a long poll, so each kind of read has its own thread.
 */
class PlatformWatcher
{
public:
  /** Called on a thread of the watcher with the result of a read. */
  using ManifestHandler = std::function<void(ManifestReadResult)>;
  using ListHandler = std::function<void(VmListReadResult)>;

  explicit PlatformWatcher(std::vector<std::string> aAddresses);
  ~PlatformWatcher();
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  void SetManifestHandler(ManifestHandler aHandler);
  void SetListHandler(ListHandler aHandler);
  /** Starts a read; its result is passed to the handler. */
  void Read(ReadManifest aReadRequest);
  void Read(ReadVmList aReadRequest);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  template<typename ReadRequest>
  void Loop(std::optional<ReadRequest>& aReadRequest);
  template<typename ReadRequest>
  std::optional<ReadRequest> WaitFor(std::optional<ReadRequest>& aReadRequest);
  bool Execute(HttpClient& aClient, const ReadManifest& aReadRequest);
  bool Execute(HttpClient& aClient, const ReadVmList& aReadRequest);

  std::vector<std::string> addresses_;
  ManifestHandler onManifest_;
  ListHandler onList_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool isStopping_ = false;
  std::optional<ReadManifest> pendingManifestRead_;
  std::optional<ReadVmList> pendingListRead_;
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> failures_ = 0;
  std::vector<std::thread> threads_;
};

} // namespace gypsum
