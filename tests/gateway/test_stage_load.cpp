#include "core/gateway/batch_queue.h"
#include "core/gateway/stage_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A stage service with its servers. */
struct LoadService
{
  std::string name;
  int servers = 0;
  BatchSpec spec;
};

/** Requests of one route; `pieces` are means by stage. */
struct LoadClass
{
  std::string name;
  double perSecond = 0.0;
  double worth = 0.0;
  std::uint32_t priority = 0;
  Duration target{};
  Duration firstPart{}; ///< Clients leave without a first part by then.
  std::vector<RouteStage> stages;
  std::vector<double> pieces;
};

struct LoadSite
{
  std::string name;
  std::vector<LoadService> services;
  std::vector<LoadClass> classes;
};

BatchSpec Spec(std::uint32_t aPieces,
               Duration aCall,
               double aPieceMs,
               double aMegabytes)
{
  return { 1,
           2,
           aPieces,
           aCall,
           Duration(static_cast<std::int64_t>(aPieceMs * 1'000)),
           static_cast<std::uint64_t>(aMegabytes * 1e6),
           seconds(4) };
}

/** Three stages that follow each other, and one of large results beside them:
 * the shape of all sites. */
LoadSite MakeSite(const std::string& aName,
                  std::vector<LoadService> aServices,
                  std::array<double, 3> aPerSecond)
{
  const std::string& large = aServices[0].name;
  const std::vector<RouteStage> chain{ { large, {}, 8'000 },
                                       { aServices[1].name, { 0 }, 60'000 },
                                       { aServices[2].name, { 1 }, 6'000 } };
  const std::vector<RouteStage> both{ { large, {}, 3'000'000 },
                                      { large, {}, 8'000 },
                                      { aServices[1].name, { 1 }, 60'000 },
                                      { aServices[2].name, { 2 }, 6'000 } };
  return { aName,
           std::move(aServices),
           { { "long",
               aPerSecond[0],
               3.4,
               1,
               milliseconds(1'000),
               seconds(4),
               { { large, {}, 3'000'000 } },
               { 1.75 } },
             { "urgent",
               aPerSecond[1],
               2.7,
               0,
               milliseconds(1'600),
               milliseconds(6'400),
               chain,
               { 1, 8, 16 } },
             { "short",
               aPerSecond[2],
               0.32,
               2,
               milliseconds(1'500),
               seconds(6),
               both,
               { 0.6, 1, 8, 16 } } } };
}

std::vector<LoadSite> Sites()
{
  const Duration call = milliseconds(150);
  return { MakeSite("5 gateways",
                    { { "cards", 3, Spec(8, call, 16, 36) },
                      { "fees", 5, Spec(16, call, 8, 2.7) },
                      { "mail", 5, Spec(30, call, 4.3, 0.53) } },
                    { 6.7, 5.2, 12.2 }),
           MakeSite("22 gateways",
                    { { "cards", 14, Spec(8, milliseconds(200), 21, 41) },
                      { "fees", 15, Spec(22, milliseconds(200), 7.8, 4.6) },
                      { "mail", 16, Spec(30, milliseconds(200), 5.7, 0.78) } },
                    { 30, 22, 40 }),
           MakeSite("68 gateways",
                    { { "cards", 28, Spec(8, call, 16, 41) },
                      { "fees", 36, Spec(26, call, 4.9, 4.6) },
                      { "mail", 42, Spec(44, call, 2.9, 0.78) } },
                    { 86.8, 67.6, 146 }) };
}

/** Plays clients, requests with their stages, and servers in simulated time. */
class StageLoad
{
public:
  StageLoad(const LoadSite& aSite, std::uint64_t aSeed)
    : site_(aSite)
    , random_(aSeed)
  {
    for (const LoadService& service : site_.services) {
      auto [position, isNew] = services_.emplace(service.name, service.spec);
      for (int index = 0; index < service.servers; ++index) {
        const std::string id = service.name + std::to_string(index);
        position->second.servers.push_back(
          std::make_shared<const BackendRecord>(
            BackendRecord{ id, service.name, id, "z", 1, false, 1, "v1" }));
      }
    }
  }

  /** Plays for a time at a multiple of the usual load. */
  void Run(Duration aLength, double aLoad)
  {
    const Instant end = now_ + aLength;
    for (; now_ < end; now_ += kStep) {
      for (const LoadClass& kind : site_.classes) {
        const double mean =
          kind.perSecond * aLoad * std::chrono::duration<double>(kStep).count();
        const int count = std::poisson_distribution<int>(mean)(random_);
        for (int index = 0; index < count; ++index) {
          owed += kind.worth;
          Arrive(kind, now_, true);
        }
      }
      while (!events_.empty() && events_.top().at <= now_) {
        const auto action = events_.top().action;
        events_.pop();
        action();
      }
      for (auto& [name, service] : services_) {
        StartCalls(service);
      }
    }
  }

  void ResetCounts()
  {
    owed = 0.0;
    earned = 0.0;
    unanswered = 0;
    lateRefusals = 0;
    refusals = 0;
  }

  std::uint64_t OrderedJobs() const
  {
    std::uint64_t ordered = 0;
    for (const auto& [name, service] : services_) {
      ordered += service.queue.OrderedJobs();
    }
    return ordered;
  }

  double owed = 0.0;
  double earned = 0.0; ///< A late answer earns a part.
  int unanswered = 0;  ///< Clients that left without an answer.
  int refusals = 0;
  int lateRefusals = 0; ///< After half of the target.
  int calls = 0;

private:
  static constexpr Duration kStep = milliseconds(1);
  static constexpr Duration kReplicaTime = milliseconds(120);
  static constexpr double kLateShare = 0.15;

  struct Service
  {
    explicit Service(BatchSpec aSpec)
      : spec(aSpec)
      , queue(aSpec)
    {
    }
    BatchSpec spec;
    BatchQueue queue;
    std::vector<BackendPtr> servers;
  };
  struct Request
  {
    const LoadClass* kind = nullptr;
    StagePlan plan{ {}, {} };
    Instant sentAt{}; ///< By the client, for the first time.
    Instant arrivedAt{};
    bool mayReturn = false;
    bool isOver = false;
    std::map<PieceJobId, std::pair<std::uint32_t, std::string>> jobs;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Event
  {
    Instant at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return std::pair(at, number) > std::pair(aOther.at, aOther.number);
    }
  };

  void After(Duration aTime, std::function<void()> aAction)
  {
    events_.push({ now_ + aTime, ++eventCount_, std::move(aAction) });
  }

  StageTime TimeOf(const Request& aRequest,
                   std::uint32_t aStage,
                   bool aWithWait)
  {
    const Service& service = services_.at(aRequest.plan.SpecOf(aStage).service);
    const auto pieces =
      std::min(aRequest.plan.PiecesOf(aStage), service.spec.maxPieces);
    StageTime time;
    time.work = service.spec.fixedCallTime + service.spec.pieceTime * pieces;
    if (aWithWait) {
      time.wait = service.queue.ExpectedWait(
        aRequest.kind->priority, Availability(service), now_);
    }
    return time;
  }

  static ServiceAvailability Availability(const Service& aService)
  {
    ServiceAvailability availability;
    availability.open = aService.servers.size();
    return availability;
  }

  Duration Remaining(const Request& aRequest, bool aWithWait)
  {
    return aRequest.plan.Remaining([&](std::uint32_t aStage) {
      return TimeOf(aRequest, aStage, aWithWait);
    });
  }

  void Arrive(const LoadClass& aKind, Instant aSentAt, bool aMayReturn)
  {
    auto request = std::make_shared<Request>();
    request->kind = &aKind;
    request->sentAt = aSentAt;
    request->arrivedAt = now_;
    request->mayReturn = aMayReturn;
    std::vector<std::uint32_t> pieces;
    for (const double mean : aKind.pieces) {
      pieces.push_back(
        mean < 2.0 && mean != 1.0
          ? std::poisson_distribution<std::uint32_t>(mean)(random_)
          : static_cast<std::uint32_t>(mean));
    }
    request->plan = StagePlan(aKind.stages, pieces);
    if (Remaining(*request, true) + kReplicaTime >=
        aKind.firstPart - (now_ - aSentAt)) {
      Refuse(request);
      return;
    }
    StartStages(request);
  }

  void StartStages(const RequestPtr& aRequest)
  {
    StagePlan& plan = aRequest->plan;
    if (plan.IsDone()) {
      After(kReplicaTime, [this, aRequest] { Answer(*aRequest); });
      return;
    }
    const Instant target = aRequest->sentAt + aRequest->kind->target;
    const Instant deadline = aRequest->sentAt + aRequest->kind->firstPart;
    for (const std::uint32_t stage : plan.Ready()) {
      Service& service = services_.at(plan.SpecOf(stage).service);
      plan.OnStarted(stage);
      PieceJob job;
      job.id = { 1, ++jobCount_ };
      job.stage = stage;
      job.pieces = plan.PiecesOf(stage);
      job.readsResults = !plan.SpecOf(stage).inputStages.empty();
      job.resultBytes = plan.SpecOf(stage).resultBytes;
      job.priority = aRequest->kind->priority;
      const Duration after =
        plan.RemainingAfter(stage, [&](std::uint32_t aOther) {
          return TimeOf(*aRequest, aOther, false);
        });
      job.due = target - kReplicaTime - after;
      job.deadline = deadline - kReplicaTime - after;
      aRequest->jobs[job.id] = { stage, plan.SpecOf(stage).service };
      waiting_[job.id] = aRequest;
      service.queue.Add(std::move(job));
    }
  }

  void StartCalls(Service& aService)
  {
    while (auto batch = aService.queue.Next(aService.servers, now_)) {
      ++calls;
      const Duration time = aService.spec.fixedCallTime +
                            aService.spec.pieceTime *
                              static_cast<std::int64_t>(batch->items.size());
      After(time, [this, &aService, call = *batch] {
        std::vector<BatchItemResult> results;
        for (std::size_t index = 0; index < call.items.size(); ++index) {
          results.push_back({ "h" + std::to_string(++resultCount_),
                              PieceFailure::None,
                              false });
        }
        aService.queue.OnEnd(call, BatchEnd::Answered, results, now_);
        StartCalls(aService);
      });
    }
    Deliver(aService);
  }

  void Deliver(Service& aService)
  {
    aService.queue.OnResultsReleased(aService.queue.TakeOrphans(), now_);
    for (PieceJobEnd& end : aService.queue.TakeEnded()) {
      const RequestPtr request = std::exchange(waiting_[end.id], nullptr);
      waiting_.erase(end.id);
      if (!request) {
        aService.queue.OnResultsReleased(end.handles, now_);
        continue;
      }
      const auto stage = request->jobs.at(end.id);
      request->jobs.erase(end.id);
      if (request->isOver) {
        aService.queue.OnResultsReleased(end.handles, now_);
      } else if (end.failure != PieceFailure::None) {
        End(*request);
        Refuse(request);
      } else {
        request->plan.OnDone(stage.first, std::move(end.handles));
        Release(request->plan.TakeReleasable());
        StartStages(request);
      }
    }
  }

  void Release(const std::vector<StagePlan::Released>& aReleased)
  {
    for (const StagePlan::Released& released : aReleased) {
      services_.at(released.service)
        .queue.OnResultsReleased(released.handles, now_);
    }
  }

  void End(Request& aRequest)
  {
    aRequest.isOver = true;
    for (const auto& [id, stage] : aRequest.jobs) {
      services_.at(stage.second).queue.Cancel(id);
      waiting_.erase(id);
    }
    aRequest.jobs.clear();
    Release(aRequest.plan.TakeAll());
  }

  void Answer(Request& aRequest)
  {
    const Duration took = now_ - aRequest.sentAt;
    if (took > aRequest.kind->firstPart) {
      ++unanswered;
    } else {
      earned += aRequest.kind->worth *
                (took <= aRequest.kind->target ? 1.0 : kLateShare);
    }
    End(aRequest);
  }

  void Refuse(const RequestPtr& aRequest)
  {
    ++refusals;
    lateRefusals +=
      now_ - aRequest->arrivedAt > aRequest->kind->target / 2 ? 1 : 0;
    if (!aRequest->mayReturn) {
      return;
    }
    const Duration retryAfter = std::max<Duration>(
      milliseconds(100),
      Remaining(*aRequest, true) - Remaining(*aRequest, false));
    const Duration left = aRequest->kind->firstPart - (now_ - aRequest->sentAt);
    After(std::min(retryAfter, left / 3),
          [this, kind = aRequest->kind, sentAt = aRequest->sentAt] {
            Arrive(*kind, sentAt, false);
          });
  }

  LoadSite site_;
  std::mt19937_64 random_;
  Instant now_{ seconds(100) };
  std::map<std::string, Service> services_;
  std::map<PieceJobId, RequestPtr> waiting_;
  std::priority_queue<Event> events_;
  std::uint64_t eventCount_ = 0;
  std::uint64_t jobCount_ = 0;
  std::uint64_t resultCount_ = 0;
};

} // namespace

TEST_CASE("[StageLoad] what is served is back within three seconds after a "
          "burst")
{
  for (const LoadSite& site : Sites()) {
    CAPTURE(site.name);
    StageLoad load(site, 1);
    load.Run(seconds(4), 1.0);
    load.ResetCounts();
    load.Run(seconds(10), 1.0);
    const double calm = load.earned / load.owed;
    load.Run(seconds(6), 2.6);
    load.Run(seconds(3), 1.0);
    load.ResetCounts();
    load.Run(seconds(10), 1.0);
    CAPTURE(calm);
    CHECK(load.earned / load.owed >= 0.9 * calm);
  }
}

TEST_CASE("[StageLoad] a higher load leaves nine tenths of the most that is "
          "served at a lower one")
{
  for (const LoadSite& site : Sites()) {
    CAPTURE(site.name);
    double most = 0.0;
    for (const double factor : { 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0 }) {
      StageLoad load(site, 2);
      load.Run(seconds(5), factor);
      load.ResetCounts();
      load.Run(seconds(15), factor);
      CHECK(load.earned >= 0.9 * most);
      most = std::max(most, load.earned);
      MESSAGE(site.name << ", load " << factor << ": earned " << load.earned
                        << " of " << load.owed << ", refused " << load.refusals
                        << ", late " << load.lateRefusals << ", no answer "
                        << load.unanswered);
      CHECK(load.unanswered == 0);
    }
  }
}

TEST_CASE("[StageLoad] the work of a queue for each call does not grow with "
          "what waits")
{
  // All jobs are put in order at most a hundred times a second.
  constexpr double kMostOrders = 100.0;
  const LoadSite site = Sites().back();
  StageLoad load(site, 3);
  load.Run(seconds(4), 1.0);
  const std::uint64_t before = load.OrderedJobs();
  load.Run(seconds(6), 3.0);
  const auto ordered = static_cast<double>(load.OrderedJobs() - before);
  // Clients leave after 6.4 s, and a request waits for two stages at most.
  const double mostWaiting = 3.0 * (86.8 + 67.6 + 2 * 146) * 6.4;
  MESSAGE("ordered " << ordered);
  CHECK(ordered / 6.0 < kMostOrders * mostWaiting);
}

} // namespace gypsum::tests
