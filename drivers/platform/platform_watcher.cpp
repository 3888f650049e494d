#include "drivers/platform/platform_watcher.h"

#include "drivers/http/http_client.h"

#include <boost/json/object.hpp>

#include <memory>
#include <sstream>
#include <utility>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 2'000 };
constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kTooManyRequests = 429;

PlatformStatus StatusOf(const HttpCallResult& aResult)
{
  if (!aResult.reply) {
    return PlatformStatus::Failed;
  }
  switch (aResult.reply->status) {
    case kOk:
      return PlatformStatus::Ok;
    case kNoContent:
      return PlatformStatus::NoChange;
    case kTooManyRequests:
      return PlatformStatus::Busy;
    default:
      return PlatformStatus::Failed;
  }
}

std::vector<std::string> ParseLeaving(const std::string& aList)
{
  std::vector<std::string> leaving;
  std::istringstream lines(aList);
  std::string name;
  std::string state;
  while (lines >> name >> state) {
    if (state == "leaving") {
      leaving.push_back(name);
    }
  }
  return leaving;
}

} // namespace

PlatformWatcher::PlatformWatcher(std::vector<std::string> aAddresses)
  : addresses_(std::move(aAddresses))
{
}

PlatformWatcher::~PlatformWatcher()
{
  Stop();
}

void PlatformWatcher::SetManifestHandler(ManifestHandler aHandler)
{
  onManifest_ = std::move(aHandler);
}

void PlatformWatcher::SetListHandler(ListHandler aHandler)
{
  onList_ = std::move(aHandler);
}

void PlatformWatcher::Read(ReadManifest aReadRequest)
{
  const std::lock_guard lock(mutex_);
  pendingManifestRead_ = aReadRequest;
  wake_.notify_all();
}

void PlatformWatcher::Read(ReadVmList aReadRequest)
{
  const std::lock_guard lock(mutex_);
  pendingListRead_ = aReadRequest;
  wake_.notify_all();
}

void PlatformWatcher::Start(Kernel& /*aKernel*/)
{
  if (addresses_.empty()) {
    return;
  }
  threads_.emplace_back([this] { Loop(pendingManifestRead_); });
  threads_.emplace_back([this] { Loop(pendingListRead_); });
}

void PlatformWatcher::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

template<typename ReadRequest>
void PlatformWatcher::Loop(std::optional<ReadRequest>& aReadRequest)
{
  std::size_t index = 0;
  auto client = std::make_unique<HttpClient>(addresses_.front());
  while (const auto readRequest = WaitFor(aReadRequest)) {
    ++reads_;
    if (!Execute(*client, *readRequest)) {
      // The next read uses the next address, on a new connection.
      ++failures_;
      ++index;
      client =
        std::make_unique<HttpClient>(addresses_[index % addresses_.size()]);
    }
  }
}

template<typename ReadRequest>
std::optional<ReadRequest> PlatformWatcher::WaitFor(
  std::optional<ReadRequest>& aReadRequest)
{
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [&] { return isStopping_ || aReadRequest.has_value(); });
  return isStopping_ ? std::nullopt : std::exchange(aReadRequest, std::nullopt);
}

bool PlatformWatcher::Execute(HttpClient& aClient,
                              const ReadManifest& aReadRequest)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aReadRequest.wait);
  HttpRequest request{ "GET", "/v1/manifest", {}, {}, {} };
  request.query = "after=" + std::to_string(aReadRequest.after) +
                  "&wait_ms=" + std::to_string(wait.count());
  auto result = aClient.Call(
    request, ConnectionUse::Reusable, kCallTimeout + aReadRequest.wait);
  ManifestReadResult read{ StatusOf(result), {} };
  if (read.status == PlatformStatus::Ok) {
    read.text = std::move(result.reply->body);
  }
  const bool isAnswered = read.status != PlatformStatus::Failed;
  onManifest_(std::move(read));
  return isAnswered;
}

bool PlatformWatcher::Execute(HttpClient& aClient,
                              const ReadVmList& /*aReadRequest*/)
{
  const HttpRequest request{ "GET", "/v1/vms", {}, {}, {} };
  const auto result =
    aClient.Call(request, ConnectionUse::Reusable, kCallTimeout);
  VmListReadResult read{ StatusOf(result), {} };
  if (read.status == PlatformStatus::Ok) {
    read.leaving = ParseLeaving(result.reply->body);
  }
  const bool isAnswered = read.status != PlatformStatus::Failed;
  onList_(std::move(read));
  return isAnswered;
}

void PlatformWatcher::Describe(boost::json::object& aState) const
{
  aState["reads"] = reads_.load();
  aState["failures"] = failures_.load();
}

} // namespace gypsum
