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
constexpr unsigned kTooMany = 429;

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
    case kTooMany:
      return PlatformStatus::Busy;
    default:
      return PlatformStatus::Failed;
  }
}

std::vector<std::string> LeavingOf(const std::string& aList)
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

void PlatformWatcher::Read(ReadManifest aOrder)
{
  const std::lock_guard lock(mutex_);
  manifestOrder_ = aOrder;
  wake_.notify_all();
}

void PlatformWatcher::Read(ReadVmList aOrder)
{
  const std::lock_guard lock(mutex_);
  listOrder_ = aOrder;
  wake_.notify_all();
}

void PlatformWatcher::Start(Kernel& /*aKernel*/)
{
  if (addresses_.empty()) {
    return;
  }
  threads_.emplace_back([this] { Loop(manifestOrder_); });
  threads_.emplace_back([this] { Loop(listOrder_); });
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

template<typename Order>
void PlatformWatcher::Loop(std::optional<Order>& aOrder)
{
  std::size_t index = 0;
  auto client = std::make_unique<HttpClient>(addresses_.front());
  while (const auto order = WaitFor(aOrder)) {
    ++reads_;
    if (!Execute(*client, *order)) {
      // The next read tries the next address on a fresh connection.
      ++failures_;
      ++index;
      client =
        std::make_unique<HttpClient>(addresses_[index % addresses_.size()]);
    }
  }
}

template<typename Order>
std::optional<Order> PlatformWatcher::WaitFor(std::optional<Order>& aOrder)
{
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [&] { return isStopping_ || aOrder.has_value(); });
  return isStopping_ ? std::nullopt : std::exchange(aOrder, std::nullopt);
}

bool PlatformWatcher::Execute(HttpClient& aClient, const ReadManifest& aOrder)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aOrder.wait);
  HttpRequest request{ "GET", "/v1/manifest", {}, {}, {} };
  request.query = "after=" + std::to_string(aOrder.after) +
                  "&wait_ms=" + std::to_string(wait.count());
  auto result =
    aClient.Call(request, ConnectionUse::Reusable, kCallTimeout + aOrder.wait);
  ManifestReadResult read{ StatusOf(result), {} };
  if (read.status == PlatformStatus::Ok) {
    read.text = std::move(result.reply->body);
  }
  const bool isAnswered = read.status != PlatformStatus::Failed;
  onManifest_(std::move(read));
  return isAnswered;
}

bool PlatformWatcher::Execute(HttpClient& aClient, const ReadVmList& /*aOrder*/)
{
  const HttpRequest request{ "GET", "/v1/vms", {}, {}, {} };
  const auto result =
    aClient.Call(request, ConnectionUse::Reusable, kCallTimeout);
  VmListReadResult read{ StatusOf(result), {} };
  if (read.status == PlatformStatus::Ok) {
    read.leaving = LeavingOf(result.reply->body);
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
