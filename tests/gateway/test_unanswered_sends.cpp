#include "core/gateway/unanswered_sends.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct UnansweredSendsFixture
{
  /** Sends a request with one trait to the server; returns its number. */
  UnansweredSends::Number Send(const std::string& aTrait)
  {
    const UnansweredSends::Number number = ++lastNumber;
    sends.Add(number,
              server,
              std::make_shared<const RequestTraits>(
                RequestTraits{ { aTrait, kWholeRequest } }));
    sends.OnConnected(number, openedAt, now);
    return number;
  }

  NoticedEnd End() const
  {
    return sends.EndOf(UnansweredSends::IncarnationOf(*server), now);
  }

  UnansweredSends sends;
  BackendPtr server = std::make_shared<const BackendRecord>(
    BackendRecord{ "i-1", "plain", "127.0.0.1:1", "z", 8, false, 17, "v1" });
  Instant now{ seconds(10'000) };
  Instant openedAt{ seconds(9'000) };
  UnansweredSends::Number lastNumber = 0;
};

} // namespace

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] an end concerns the sends that run, were "
                  "given up or have broken, and none without a connection")
{
  Send("running");
  sends.OnGivenUp(Send("given-up"), now);
  sends.OnBroken(Send("broken"), now);
  sends.Remove(Send("removed"));
  sends.OnEvents(Send("answered"), true, now);
  sends.Add(++lastNumber, server, std::make_shared<const RequestTraits>());
  const NoticedEnd end = End();
  CHECK(end.requests == 3);
  CHECK(end.givenUp == 1);
  CHECK(end.crash.traits.size() == 3);
  CHECK(end.crash.version == "v1");
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a server without a response for a while "
                  "is silent, and reported once")
{
  Send("aa");
  CHECK(sends.TakeSilences(now + milliseconds(300)).empty());
  const auto silences = sends.TakeSilences(now + milliseconds(450));
  REQUIRE(silences.size() == 1);
  CHECK(silences.front().crash.proof == EndProof::Suspected);
  CHECK(silences.front().crash.age == milliseconds(450));
  CHECK(silences.front().crash.traits ==
        RequestTraits{ { "aa", kWholeRequest } });
  CHECK(sends.TakeSilences(now + seconds(3)).empty());
}

TEST_CASE_FIXTURE(
  UnansweredSendsFixture,
  "[UnansweredSends] a server is asked once before it counts as "
  "silent, and does not while it answers")
{
  const auto server1 = UnansweredSends::IncarnationOf(*server);
  Send("aa");
  CHECK(sends.TakeUnheard(now + milliseconds(250)).empty());
  CHECK(sends.TakeUnheard(now + milliseconds(350)).size() == 1);
  CHECK(sends.TakeUnheard(now + milliseconds(390)).empty());
  CHECK(sends.TakeSilences(now + milliseconds(450)).empty());
  SUBCASE("it answers")
  {
    sends.OnQuestionEnd(server1, true, now + milliseconds(460));
    CHECK(sends.TakeSilences(now + milliseconds(850)).empty());
    CHECK(sends.TakeUnheard(now + milliseconds(850)).size() == 1);
  }
  SUBCASE("it does not")
  {
    sends.OnQuestionEnd(server1, false, now + milliseconds(460));
    CHECK(sends.TakeSilences(now + milliseconds(460)).size() == 1);
    CHECK(sends.TakeUnheard(now + seconds(2)).empty());
  }
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a send that was given up is no sign of "
                  "silence once its server has answered a question since")
{
  const auto server1 = UnansweredSends::IncarnationOf(*server);
  sends.OnGivenUp(Send("left"), now);
  CHECK(sends.TakeUnheard(now + milliseconds(350)).size() == 1);
  sends.OnQuestionEnd(server1, true, now + milliseconds(360));
  CHECK(sends.TakeUnheard(now + seconds(2)).empty());
  CHECK(sends.TakeSilences(now + seconds(2)).empty());
  CHECK(End().requests == 1);
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a server that responds to others, here or "
                  "at a peer, is not silent until it stops")
{
  Send("slow");
  SUBCASE("here")
  {
    sends.OnEvents(Send("other"), true, now + milliseconds(300));
  }
  SUBCASE("at a peer")
  {
    sends.OnPeerResponse(UnansweredSends::IncarnationOf(*server),
                         now + milliseconds(300));
  }
  CHECK(sends.TakeSilences(now + milliseconds(600)).empty());
  CHECK(sends.TakeSilences(now + milliseconds(750)).size() == 1);
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] no server is silent while this process "
                  "does not run")
{
  Send("aa");
  sends.OnOwnPause(now + seconds(2));
  CHECK(sends.TakeSilences(now + seconds(2)).empty());
  CHECK(sends.TakeSilences(now + milliseconds(2'450)).size() == 1);
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a send that was given up counts until a "
                  "response shows that the server went on")
{
  sends.OnGivenUp(Send("left"), now);
  CHECK(End().requests == 1);
  now += milliseconds(100);
  sends.OnResponse(*server, openedAt, now);
  CHECK(End().requests == 1);
  now += milliseconds(300);
  SUBCASE("on a connection from before")
  {
    sends.OnResponse(*server, openedAt, now);
    CHECK(End().requests == 0);
  }
  SUBCASE("but not on one that may lead to a restarted process")
  {
    sends.OnResponse(*server, now, now);
    CHECK(End().requests == 1);
  }
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a send whose end is never confirmed is "
                  "forgotten")
{
  sends.OnGivenUp(Send("left"), now);
  sends.Expire(now + UnansweredSends::kConfirmationTime - milliseconds(1));
  CHECK(End().requests == 1);
  sends.Expire(now + UnansweredSends::kConfirmationTime);
  CHECK(End().requests == 0);
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a server whose silence nothing explains "
                  "is to be asked")
{
  Send("aa");
  CHECK(sends.TakeUnexplained(now + seconds(4)).empty());
  CHECK(sends.TakeUnexplained(now + seconds(5)).size() == 1);
  CHECK(sends.TakeUnexplained(now + seconds(6)).empty());
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a send to a server that had fallen silent "
                  "before does not count for its end")
{
  Send("first");
  now += milliseconds(300);
  Send("beside");
  now += milliseconds(300);
  Send("late");
  CHECK(End().requests == 2);
  REQUIRE(sends.TakeSilences(now + seconds(1)).size() == 1);
  CHECK(End().crash.age == milliseconds(600));
}

TEST_CASE_FIXTURE(UnansweredSendsFixture,
                  "[UnansweredSends] a server whose response is overdue is "
                  "silent at once, unless it has responded to others")
{
  const auto number = Send("overdue");
  now += milliseconds(200);
  SUBCASE("without any response")
  {
    sends.OnTimedOut(number, now);
    CHECK(sends.TakeSilences(now).size() == 1);
  }
  SUBCASE("with one to another request")
  {
    sends.OnResponse(*server, openedAt, now - milliseconds(50));
    sends.OnTimedOut(number, now);
    CHECK(sends.TakeSilences(now).empty());
  }
}

} // namespace gypsum::tests
