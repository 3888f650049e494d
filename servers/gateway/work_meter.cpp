#include "servers/gateway/work_meter.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace gypsum {

namespace {

constexpr std::size_t kMaxReportedKinds = 12;

} // namespace

std::string ToText(std::string_view aKind, const WorkDone& aWork)
{
  constexpr std::size_t kMaxNumberBytes = 48;
  char number[kMaxNumberBytes];
  std::snprintf(number,
                sizeof(number),
                ":%.1f/%llu",
                std::chrono::duration<double, std::milli>(aWork.time).count(),
                static_cast<unsigned long long>(aWork.times));
  return std::string(aKind) + number;
}

WorkMeter::Scope::Scope(WorkMeter& aMeter, std::string_view aKind)
  : meter_(aMeter)
  , outer_(aMeter.current_)
{
  WorkDone& work = meter_.works_[aKind];
  ++work.times;
  meter_.SwitchTo(&work);
}

WorkMeter::Scope::~Scope()
{
  meter_.SwitchTo(outer_);
}

void WorkMeter::SwitchTo(WorkDone* aWork)
{
  const ProcessorTime now = ThreadProcessorTime();
  if (current_) {
    current_->time += now - since_;
  }
  current_ = aWork;
  since_ = now;
}

std::string WorkMeter::TakeLargest()
{
  std::vector<std::pair<std::string_view, WorkDone>> recent;
  for (const auto& [kind, work] : works_) {
    WorkDone& before = reported_[kind];
    recent.emplace_back(
      kind, WorkDone{ work.times - before.times, work.time - before.time });
    before = work;
  }
  std::ranges::sort(recent, std::ranges::greater{}, [](const auto& aItem) {
    return aItem.second.time;
  });
  recent.resize(std::min(recent.size(), kMaxReportedKinds));
  std::string text;
  for (const auto& [kind, work] : recent) {
    if (work.times > 0) {
      text += (text.empty() ? "" : ",") + ToText(kind, work);
    }
  }
  return text;
}

} // namespace gypsum
