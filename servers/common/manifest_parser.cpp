#include "servers/common/manifest_parser.h"

#include "core/hash.h"

#include <utility>

namespace gypsum {

namespace {

// A result stays untaken if the follower already knew the text; the limit keeps
// such results from accumulating.
constexpr std::size_t kMaxResults = 4;

} // namespace

ManifestParser::ManifestParser()
  : thread_([this] { Loop(); })
{
}

ManifestParser::~ManifestParser()
{
  Stop();
}

void ManifestParser::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ManifestParser::ParseAsync(std::string aText,
                                std::function<void(std::string)> aOnParsed)
{
  const std::lock_guard lock(mutex_);
  jobs_.push_back({ std::move(aText), std::move(aOnParsed) });
  wake_.notify_all();
}

ManifestParser::Result ManifestParser::TakeResult(std::string_view aText)
{
  {
    const std::lock_guard lock(mutex_);
    auto found = results_.extract(Checksum(aText));
    if (!found.empty()) {
      return std::move(found.mapped());
    }
  }
  return ParseManifest(aText);
}

void ManifestParser::Loop()
{
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return isStopping_ || !jobs_.empty(); });
    if (isStopping_) {
      return;
    }
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    Result result = ParseManifest(job.text);
    lock.lock();
    if (results_.size() >= kMaxResults) {
      results_.clear();
    }
    results_.insert_or_assign(Checksum(job.text), std::move(result));
    lock.unlock();
    job.onParsed(std::move(job.text));
    lock.lock();
  }
}

} // namespace gypsum
