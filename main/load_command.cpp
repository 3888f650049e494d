#include "main/load_command.h"

#include "core/configuration/section_reader.h"
#include "core/replay/replay_report.h"
#include "core/replay/trace_key.h"
#include "drivers/clock.h"
#include "drivers/http/http_client.h"
#include "main/commands.h"
#include "main/trace_files.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

namespace gypsum {

namespace {

constexpr unsigned kOk = 200;
constexpr Duration kReplyTimeoutMargin = std::chrono::seconds(5);
constexpr Duration kProgressPeriod = std::chrono::seconds(1);

std::string HeaderOf(const HttpReply& aReply, std::string_view aName)
{
  HttpRequest lookup;
  lookup.headers = aReply.headers;
  return std::string(lookup.Header(aName));
}

ErrorKind KindOf(std::string_view aName)
{
  const auto response =
    std::ranges::find(ErrorResponses(), aName, &ErrorResponse::name);
  return response == ErrorResponses().end() ? ErrorKind::Internal
                                            : response->kind;
}

/**
 * Open-loop load generator: sends each arrival of a trace at its time, without
 * waiting for earlier answers.
 */
class OpenLoopSender
{
public:
  OpenLoopSender(const TraceFiles& aFiles,
                 const std::vector<std::string>& aEntries,
                 unsigned aWorkers)
    : files_(aFiles)
    , entries_(aEntries)
    , workers_(aWorkers)
  {
    record_.requests.resize(aFiles.trace.arrivals.size());
  }

  ReplayRecord Run()
  {
    start_ = Now().steady;
    std::vector<std::thread> threads;
    for (unsigned worker = 0; worker < workers_; ++worker) {
      threads.emplace_back([this] { RunWorker(); });
    }
    const std::size_t total = record_.requests.size();
    while (answered_ < total) {
      std::cerr << "sent " << std::min<std::size_t>(next_, total) << " of "
                << total << ", answered " << answered_ << ", late starts "
                << lateStarts_ << '\n';
      std::this_thread::sleep_for(kProgressPeriod);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    return std::move(record_);
  }
  /** Number of arrivals sent late because every worker was busy. */
  std::size_t LateStarts() const { return lateStarts_; }

private:
  void RunWorker()
  {
    for (std::size_t index = next_++; index < record_.requests.size();
         index = next_++) {
      const Instant due = start_ + files_.trace.arrivals[index].at;
      if (Now().steady > due + kLateStartThreshold) {
        ++lateStarts_;
      }
      std::this_thread::sleep_until(due);
      SendArrival(index, due);
      ++answered_;
    }
  }

  void SendArrival(std::size_t aIndex, Instant aDue)
  {
    const TraceArrival& arrival = files_.trace.arrivals[aIndex];
    const Pipeline& pipeline = *files_.manifest->FindPipeline(arrival.pipeline);
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/pipelines/" + arrival.pipeline;
    request.headers = { { "Gypsum-Customer", arrival.customer },
                        { "Idempotency-Key", KeyAt(Now().wall, aIndex) } };
    request.body = BodyOfArrival(files_.trace, aIndex);
    HttpClient client(entries_[aIndex % entries_.size()]);
    const HttpCallResult result = client.Call(
      request, ConnectionUse::Fresh, pipeline.deadline + kReplyTimeoutMargin);
    ReplayedRequest& replayed = record_.requests[aIndex];
    replayed.deadline = pipeline.deadline;
    replayed.elapsed = Now().steady - aDue;
    if (!result.reply) {
      return;
    }
    replayed.isAnswered = true;
    const std::string outcome = HeaderOf(*result.reply, "Gypsum-Outcome");
    replayed.outcome = outcome == NameOf(Outcome::Complete) ? Outcome::Complete
                       : outcome == NameOf(Outcome::NotRun) ? Outcome::NotRun
                                                            : Outcome::Unknown;
    replayed.error = result.reply->status == kOk
                       ? ErrorKind::None
                       : KindOf(HeaderOf(*result.reply, "Gypsum-Error"));
  }

  static constexpr Duration kLateStartThreshold = std::chrono::milliseconds(10);

  const TraceFiles& files_;
  const std::vector<std::string>& entries_;
  unsigned workers_;
  Instant start_{};
  std::atomic<std::size_t> next_ = 0;
  std::atomic<std::size_t> answered_ = 0;
  std::atomic<std::size_t> lateStarts_ = 0;
  ReplayRecord record_;
};

void Print(const ReplayReport& aReport, std::size_t aLateStarts, bool aIsJson)
{
  if (!aIsJson) {
    WriteComparison(std::cout, std::vector<NamedReport>{ { "load", aReport } });
    std::cout << "late-starts " << aLateStarts << '\n';
    return;
  }
  boost::json::object figures;
  for (const Figure& figure : aReport.Figures()) {
    figures[figure.name] = figure.value;
  }
  figures["late-starts"] = aLateStarts;
  std::cout << boost::json::serialize(figures) << '\n';
}

} // namespace

int RunLoadCommand(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Sends the arrivals of a trace to entries over HTTP.", ' ', kVersion);
  TCLAP::MultiArg<std::string> entries(
    "e", "entry", "HTTP address of an entry", true, "IPv4:PORT", line);
  TCLAP::ValueArg<unsigned> workers(
    "w", "workers", "requests in flight at most", false, 400, "N", line);
  TCLAP::SwitchArg json("j", "json", "print JSON", line);
  TCLAP::UnlabeledValueArg<std::string> file(
    "trace", "trace to send", true, "", "TRACE", line);
  Parse(line, aArguments);
  for (const std::string& entry : entries.getValue()) {
    if (!IsAddress(entry)) {
      throw TCLAP::ArgParseException("expected IPv4:PORT, got '" + entry + "'",
                                     "entry");
    }
  }
  const auto files = ReadTraceFiles(file.getValue());
  if (!files) {
    return kExitFailure;
  }
  OpenLoopSender loop(
    *files, entries.getValue(), std::max(1U, workers.getValue()));
  const ReplayRecord record = loop.Run();
  const ReplayReport report(files->trace, *files->manifest, record);
  Print(report, loop.LateStarts(), json.getValue());
  return report.Find("unanswered") == 0 ? kExitOk : kExitFailure;
}

} // namespace gypsum
