#include "core/gateway/batch_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The stage with the fewest replicas of the first site: 3, 150 ms a call. */
const BatchSpec kSpec{
  1, 2, 8, milliseconds(150), milliseconds(16), 36'000'000, seconds(4)
};

struct QueueFixture
{
  QueueFixture() { AddReplicas(3); }

  void AddReplicas(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      replicas.push_back(std::make_shared<const BackendRecord>(
        BackendRecord{ "r" + std::to_string(index),
                       "cards",
                       "10.0.0." + std::to_string(index + 1) + ":1",
                       std::string(1, static_cast<char>('a' + index % 3)),
                       1,
                       false,
                       1 }));
    }
  }

  PieceJob Job(std::uint64_t aNumber, std::uint32_t aPieces) const
  {
    PieceJob job;
    job.id = { 1, aNumber };
    job.attempt = "attempt-" + std::to_string(aNumber);
    job.pieces = aPieces;
    job.key = "k";
    job.due = now + milliseconds(800);
    job.deadline = now + seconds(4);
    return job;
  }

  static std::vector<BatchItemResult> Good(const Batch& aBatch)
  {
    std::vector<BatchItemResult> results;
    for (const BatchItem& item : aBatch.items) {
      results.push_back({ aBatch.backend->address + "/" +
                            std::to_string(item.job.number) + "." +
                            std::to_string(item.piece) + "." +
                            std::to_string(aBatch.number),
                          PieceFailure::None,
                          false });
    }
    return results;
  }

  std::vector<Batch> TakeAll()
  {
    std::vector<Batch> batches;
    while (auto batch = queue.Next(replicas, now)) {
      batches.push_back(std::move(*batch));
    }
    return batches;
  }

  Instant now{ seconds(100) };
  std::vector<BackendPtr> replicas;
  BatchQueue queue{ kSpec };
};

/** Plays a load over the queue in virtual time. */
struct LoadPlay : QueueFixture
{
  struct Done
  {
    std::uint64_t number = 0;
    Duration after{};
    PieceFailure failure = PieceFailure::None;
  };

  /** `aOnTick` adds jobs; replicas work as their sheet says. */
  void Play(Duration aLength, const std::function<void()>& aOnTick)
  {
    const Instant end = now + aLength;
    for (; now < end; now += milliseconds(1)) {
      aOnTick();
      std::erase_if(calls_, [&](const auto& aCall) {
        if (now < aCall.first) {
          return false;
        }
        queue.OnEnd(aCall.second, BatchEnd::Answered, Good(aCall.second), now);
        return true;
      });
      for (Batch& batch : TakeAll()) {
        REQUIRE(batch.items.size() <= kSpec.maxPieces);
        mostInOneCall = std::max(mostInOneCall, batch.items.size());
        const Instant at =
          now + kSpec.fixedCallTime +
          kSpec.pieceTime * static_cast<std::int64_t>(batch.items.size());
        calls_.emplace_back(at, std::move(batch));
      }
      for (PieceJobEnd& ended : queue.TakeEnded()) {
        done.push_back(
          { ended.id.number, now - addedAt[ended.id.number], ended.failure });
        queue.OnResultsReleased(ended.handles, now);
      }
    }
  }

  void Add(PieceJob aJob)
  {
    addedAt[aJob.id.number] = now;
    queue.Add(std::move(aJob));
  }

  std::map<std::uint64_t, Instant> addedAt;
  std::vector<Done> done;
  std::size_t mostInOneCall = 0;

private:
  std::vector<std::pair<Instant, Batch>> calls_;
};

} // namespace

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] idle replicas share the jobs that wait")
{
  for (std::uint64_t number = 1; number <= 3; ++number) {
    queue.Add(Job(number, 2));
  }
  const auto batches = TakeAll();
  REQUIRE(batches.size() == 3);
  for (const Batch& batch : batches) {
    CHECK(batch.items.size() == 2);
  }
}

TEST_CASE_FIXTURE(QueueFixture, "[BatchQueue] jobs that waited share one call")
{
  for (std::uint64_t number = 1; number <= 3; ++number) {
    queue.Add(Job(number, 1));
  }
  auto first = TakeAll();
  for (std::uint64_t number = 4; number <= 9; ++number) {
    queue.Add(Job(number, 1));
  }
  CHECK(TakeAll().empty());
  now += milliseconds(166);
  queue.OnEnd(first[0], BatchEnd::Answered, Good(first[0]), now);
  const auto next = TakeAll();
  REQUIRE(next.size() == 1);
  CHECK(next.front().items.size() == 6);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] a job ends once, with its handles by piece")
{
  queue.Add(Job(1, 3));
  for (const Batch& batch : TakeAll()) {
    now += milliseconds(200);
    queue.OnEnd(batch, BatchEnd::Answered, Good(batch), now);
  }
  const auto ended = queue.TakeEnded();
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().failure == PieceFailure::None);
  REQUIRE(ended.front().handles.size() == 3);
  for (std::size_t piece = 0; piece < 3; ++piece) {
    CHECK(ended.front().handles[piece].find("/1." + std::to_string(piece)) !=
          std::string::npos);
  }
  CHECK(queue.IsIdle());
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] the more urgent and the earlier due go first")
{
  replicas.resize(1);
  PieceJob late = Job(1, 8);
  late.due = now + milliseconds(900);
  PieceJob early = Job(2, 8);
  early.due = now + milliseconds(500);
  PieceJob urgent = Job(3, 8);
  urgent.due = now + milliseconds(1'000);
  late.priority = early.priority = 1;
  queue.Add(late);
  queue.Add(early);
  queue.Add(urgent);
  std::vector<std::uint64_t> order;
  for (int call = 0; call < 3; ++call) {
    auto batch = queue.Next(replicas, now);
    REQUIRE(batch);
    order.push_back(batch->items.front().job.number);
    queue.OnEnd(*batch, BatchEnd::Answered, Good(*batch), now);
  }
  CHECK(order == std::vector<std::uint64_t>{ 3, 2, 1 });
}

TEST_CASE_FIXTURE(
  QueueFixture,
  "[BatchQueue] a job that misses its target lets those go first that can "
  "make it")
{
  replicas.resize(1);
  PieceJob missed = Job(1, 8);
  missed.due = now + milliseconds(50);
  queue.Add(missed);
  queue.Add(Job(2, 8));
  CHECK(queue.Next(replicas, now)->items.front().job.number == 2);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] a job without time left is refused at once")
{
  PieceJob job = Job(1, 1);
  job.deadline = now + milliseconds(100);
  queue.Add(job);
  CHECK(TakeAll().empty());
  const auto ended = queue.TakeEnded();
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().failure == PieceFailure::Late);
}

TEST_CASE_FIXTURE(
  QueueFixture,
  "[BatchQueue] pieces of a failed call are made elsewhere, the replica rests")
{
  queue.Add(Job(1, 2));
  auto batch = queue.Next(replicas, now);
  REQUIRE(batch);
  const std::string failed = batch->backend->id;
  for (const auto end :
       { BatchEnd::Unreachable, BatchEnd::Lost, BatchEnd::Rejected }) {
    CAPTURE(static_cast<int>(end));
    queue.OnEnd(*batch, end, {}, now);
    const std::string before = batch->backend->id;
    batch = queue.Next(replicas, now);
    if (!batch) {
      break;
    }
    CHECK(batch->backend->id != before);
    CHECK(batch->items.size() == 2);
  }
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] a replica that stays full is asked less often")
{
  replicas.resize(1);
  queue.Add(Job(1, 1));
  int calls = 0;
  for (const Instant end = now + seconds(1); now < end;
       now += milliseconds(1)) {
    if (const auto batch = queue.Next(replicas, now)) {
      ++calls;
      queue.OnEnd(*batch, BatchEnd::Rejected, {}, now);
    }
  }
  // After 0, 30, 90 and 210 ms, then each 240 ms.
  CHECK(calls == 7);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] a job whose input is gone ends with that word")
{
  queue.Add(Job(1, 1));
  auto batch = queue.Next(replicas, now);
  const std::vector<BatchItemResult> gone{
    { "", PieceFailure::InputMissing, false }
  };
  queue.OnEnd(*batch, BatchEnd::Answered, gone, now);
  const auto ended = queue.TakeEnded();
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().failure == PieceFailure::InputMissing);
}

TEST_CASE_FIXTURE(
  QueueFixture,
  "[BatchQueue] results of jobs that ended are orphans, each told once")
{
  queue.Add(Job(1, 2));
  auto batch = queue.Next(replicas, now);
  queue.Cancel({ 1, 1 });
  queue.OnEnd(*batch, BatchEnd::Answered, Good(*batch), now);
  CHECK(queue.TakeOrphans().size() == 2);
  CHECK(queue.TakeOrphans().empty());
  CHECK(queue.TakeEnded().empty());
}

TEST_CASE_FIXTURE(
  QueueFixture,
  "[BatchQueue] large results wait for room and small ones pass them by")
{
  replicas.resize(1);
  PieceJob large = Job(1, 8);
  large.resultBytes = 3'000'000;
  PieceJob second = Job(2, 6);
  second.resultBytes = 3'000'000;
  PieceJob small = Job(3, 1);
  small.resultBytes = 8'000;
  small.priority = 2;
  queue.Add(large);
  auto first = queue.Next(replicas, now);
  REQUIRE(first);
  queue.OnEnd(*first, BatchEnd::Answered, Good(*first), now);
  auto ended = queue.TakeEnded();
  REQUIRE(ended.size() == 1);
  // 24 of 36 MB are taken: six more pieces do not fit.
  queue.Add(second);
  queue.Add(small);
  auto next = queue.Next(replicas, now);
  REQUIRE(next);
  CHECK(next->items.front().job.number == 3);
  queue.OnEnd(*next, BatchEnd::Answered, Good(*next), now);
  CHECK_FALSE(queue.Next(replicas, now));
  CHECK(queue.WakeAt().has_value());
  SUBCASE("until results are given up")
  {
    queue.OnResultsReleased(ended.front().handles, now);
    CHECK(queue.Next(replicas, now)->items.size() == 6);
  }
  SUBCASE("or until they expire")
  {
    second.id.number = 4;
    now += seconds(5);
    second.due = now + seconds(1);
    second.deadline = now + seconds(2);
    queue.Add(second);
    queue.Cancel({ 1, 2 });
    CHECK(queue.Next(replicas, now)->items.size() == 6);
  }
}

TEST_CASE_FIXTURE(
  QueueFixture,
  "[BatchQueue] large results are made where they are read while there is time")
{
  PieceJob job = Job(1, 3);
  job.resultBytes = 3'000'000;
  job.preferredZone = "c";
  job.zoneBytes = 9'000'000;
  queue.Add(job);
  CHECK(queue.Next(replicas, now)->backend->zone == "c");
}

TEST_CASE_FIXTURE(
  QueueFixture,
  "[BatchQueue] a slow replica gets nothing while a faster one is soon free")
{
  replicas.resize(2);
  // The first is measured five times slower than stated.
  for (std::uint64_t call = 100; call < 104; ++call) {
    queue.Add(Job(call, 1));
    auto batch = queue.Next(std::span(replicas).first(1), now);
    REQUIRE(batch);
    now += milliseconds(830);
    queue.OnEnd(*batch, BatchEnd::Answered, Good(*batch), now);
  }
  queue.TakeEnded();
  queue.Add(Job(1, 1));
  auto fast = queue.Next(replicas, now);
  REQUIRE(fast);
  CHECK(fast->backend->id == "r1");
  queue.Add(Job(2, 1));
  CHECK_FALSE(queue.Next(replicas, now));
  now += milliseconds(166);
  queue.OnEnd(*fast, BatchEnd::Answered, Good(*fast), now);
  CHECK(queue.Next(replicas, now)->backend->id == "r1");
}

TEST_CASE_FIXTURE(
  LoadPlay,
  "[BatchQueue] the first site's calm load is served in time, which calls of "
  "one request each could not carry")
{
  // 27 requests a second on 3 replicas of 166 ms are 4.5 s of work a second.
  std::mt19937 random(11);
  std::uint64_t number = 0;
  Play(seconds(20), [&] {
    if (random() % 1'000 < 27) {
      const std::uint32_t pieces = 1 + random() % 2;
      Add(Job(++number, pieces));
    }
  });
  const auto late = std::ranges::count_if(done, [](const Done& aDone) {
    return aDone.after > milliseconds(800) ||
           aDone.failure != PieceFailure::None;
  });
  REQUIRE(done.size() > 480);
  CHECK(static_cast<double>(late) < 0.01 * static_cast<double>(done.size()));
  CHECK(mostInOneCall > 2);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] small results that read much are made where it "
                  "lies")
{
  PieceJob job = Job(1, 3);
  job.resultBytes = 6'000;
  job.preferredZone = "b";
  job.zoneBytes = 7'680'000;
  queue.Add(job);
  CHECK(queue.Next(replicas, now)->backend->zone == "b");
}

TEST_CASE_FIXTURE(QueueFixture,
                  "[BatchQueue] the time that results are kept is measured, of "
                  "those that take room worth counting")
{
  const auto holdAfter = [&](std::uint64_t aBytes) {
    PieceJob job = Job(7, 1);
    job.resultBytes = aBytes;
    queue.Add(job);
    auto batch = queue.Next(replicas, now);
    REQUIRE(batch);
    queue.OnEnd(*batch, BatchEnd::Answered, Good(*batch), now);
    const auto ended = queue.TakeEnded();
    now += milliseconds(100);
    queue.OnResultsReleased(ended.front().handles, now);
    queue.Add(Job(8, 1));
    const Duration hold = queue.Next(replicas, now)->expectedHold;
    return hold;
  };
  const Duration before = milliseconds(600);
  SUBCASE("of 60 KB in 36 MB")
  {
    CHECK(holdAfter(60'000) < before);
  }
  SUBCASE("not of 8 KB")
  {
    CHECK(holdAfter(8'000) == before);
  }
}

TEST_CASE_FIXTURE(
  LoadPlay,
  "[BatchQueue] in a burst of the less urgent nearly all of the urgent make "
  "their target")
{
  std::mt19937 random(23);
  std::uint64_t number = 0;
  std::set<std::uint64_t> urgent;
  // 12 urgent requests of 3 pieces a second fit; 40 others beside them do not.
  Play(seconds(10), [&] {
    const auto drawn = random() % 1'000;
    if (drawn >= 52) {
      return;
    }
    PieceJob job = Job(++number, 3);
    job.priority = drawn < 12 ? 1 : 3;
    // The others are due sooner, as quick questions are.
    job.due = now + milliseconds(drawn < 12 ? 1'000 : 600);
    if (drawn < 12) {
      urgent.insert(number);
    }
    Add(job);
  });
  const auto inTime = std::ranges::count_if(done, [&](const Done& aDone) {
    return urgent.contains(aDone.number) &&
           aDone.failure == PieceFailure::None &&
           aDone.after <= milliseconds(1'000);
  });
  REQUIRE(urgent.size() > 80);
  CHECK(static_cast<double>(inTime) >
        0.95 * static_cast<double>(urgent.size()));
}

TEST_CASE_FIXTURE(
  LoadPlay,
  "[BatchQueue] in overload the urgent make their target and the others are "
  "not starved after it")
{
  std::mt19937 random(5);
  std::uint64_t number = 0;
  std::set<std::uint64_t> urgent;
  const auto add = [&](std::uint32_t aPerMille) {
    if (random() % 1'000 >= aPerMille) {
      return;
    }
    PieceJob job = Job(++number, 3);
    job.priority = random() % 2 == 0 ? 0 : 2;
    if (job.priority == 0) {
      urgent.insert(number);
    }
    Add(job);
  };
  // 240 pieces a second against at most 86.
  Play(seconds(5), [&] { add(80); });
  Play(seconds(15), [&] { add(15); });
  std::size_t urgentInTime = 0;
  std::size_t othersServed = 0;
  for (const Done& end : done) {
    if (end.failure != PieceFailure::None) {
      continue;
    }
    if (urgent.contains(end.number)) {
      urgentInTime += end.after <= milliseconds(800) ? 1 : 0;
    } else {
      ++othersServed;
    }
  }
  // Urgent work alone is 120 pieces a second in the burst.
  CHECK(urgentInTime > urgent.size() / 2);
  CHECK(othersServed > (number - urgent.size()) / 4);
}

} // namespace gypsum::tests
