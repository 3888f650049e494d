#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/crash_evidence.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsum {

using RequestTraits = std::vector<RequestTrait>;

/** The end of a server, or its silence, as seen from the sends to it. */
struct NoticedEnd
{
  ServerCrash crash;
  std::size_t requests = 0; ///< Without a settled response.
  std::size_t givenUp = 0;  ///< Of these, no longer waited for.
  /** When the last connection was opened that broke with the server. */
  Instant openedAt{};
  std::vector<std::uint64_t> sends; ///< To a silent server, by number.
};

/**
 * The sends of this gateway to which servers may still be about to respond.
 *
 * A send counts until its server has survived it. One that the gateway has
 * given up, since its client left or its time was over, may still run: it
 * counts until the server responds to something else long enough afterwards.
 * A send to a server that had fallen silent before does not count.
 */
class UnansweredSends
{
public:
  using Number = std::uint64_t;
  /** Backend server and the start of its incarnation. */
  using Incarnation = std::pair<std::string, std::uint64_t>;

  /** Time after the first event until a server has survived a request, and
   * after a send was given up until a response shows that it was dropped. */
  static constexpr Duration kSurvivalTime = std::chrono::milliseconds(300);
  /** Time without a response of a server after which it is silent, unless a
   * response was overdue before. */
  static constexpr Duration kSilenceTime = std::chrono::milliseconds(400);
  /** Time without a response after which a server is asked whether it lives:
   * one that is busy with a long request answers. Its answer takes up to the
   * rest of `kSilenceTime`. */
  static constexpr Duration kUnheardTime = std::chrono::milliseconds(300);
  /** Time between two reports of the same silence. */
  static constexpr Duration kSilenceReportGap = std::chrono::seconds(1);
  /** Silence after which the server itself is asked: the registry has not
   * listed its end by then. */
  static constexpr Duration kMaxSilence = std::chrono::seconds(5);
  /** The registry lists a crashed server as gone or restarted after a few of
   * its heartbeats. */
  static constexpr Duration kConfirmationTime = std::chrono::seconds(6);

  static Incarnation IncarnationOf(const BackendRecord& aBackend)
  {
    return { aBackend.id, aBackend.startedMs };
  }

  /** A send that has no connection yet; nothing of it counts. */
  void Add(Number aNumber,
           BackendPtr aBackend,
           std::shared_ptr<const RequestTraits> aTraits);
  /** The request is sent on a connection that was opened at a time. */
  void OnConnected(Number aNumber, Instant aOpenedAt, Instant aNow);
  /** A part of the response has arrived; true if the server has survived the
   * request with it. */
  bool OnEvents(Number aNumber, bool aIsComplete, Instant aNow);
  /** The server has ended the connection. */
  void OnBroken(Number aNumber, Instant aNow);
  /** The gateway waits no longer, as the client has left. */
  void OnGivenUp(Number aNumber, Instant aNow);
  /** The gateway waits no longer, as the response is overdue. */
  void OnTimedOut(Number aNumber, Instant aNow);
  void Remove(Number aNumber) { sends_.erase(aNumber); }
  /** The server has responded on a connection that was opened at a time. */
  void OnResponse(const BackendRecord& aBackend,
                  Instant aOpenedAt,
                  Instant aNow);
  /** The server has responded to another gateway. */
  void OnPeerResponse(const Incarnation& aServer, Instant aAt);
  /** This process did not run for a while: no server was silent. */
  void OnOwnPause(Instant aNow) { pauseEndedAt_ = aNow; }

  struct Sent
  {
    BackendPtr backend; ///< Null if the send is not known.
    std::shared_ptr<const RequestTraits> traits;
    Instant openedAt{};
    bool isOpen = false; ///< It was sent, and the server has not survived it.
  };
  Sent Find(Number aNumber) const;
  /** Incarnations of a server with sends that count. */
  std::vector<BackendPtr> ServersById(std::string_view aBackend) const;
  /** Sends to an incarnation that have broken or were given up. */
  std::vector<Number> EndedAt(const Incarnation& aServer) const;
  /** What the end of an incarnation concerns; `requests` may be zero. */
  NoticedEnd EndOf(const Incarnation& aServer, Instant aNow) const;
  /** Servers to ask whether they live. Each is returned once in a silence, and
   * is not silent until `OnQuestionEnd`. */
  std::vector<BackendPtr> TakeUnheard(Instant aNow);
  /** A server has answered that question, or has not in time. */
  void OnQuestionEnd(const Incarnation& aServer, bool aIsAlive, Instant aNow);
  /** Servers that have fallen silent since the last call, each with the traits
   * of the sends that were not reported yet. */
  std::vector<NoticedEnd> TakeSilences(Instant aNow);
  /** Servers that are to be asked, as their silence was not explained in time;
   * each is returned once in `kMaxSilence`. */
  std::vector<BackendPtr> TakeUnexplained(Instant aNow);
  /** Forgets sends whose end was not confirmed in time. */
  void Expire(Instant aNow);

private:
  enum class State
  {
    Unsent,
    Running,
    GivenUp,
    Broken,
    Survived,
  };

  struct Send
  {
    BackendPtr backend;
    std::shared_ptr<const RequestTraits> traits;
    State state = State::Unsent;
    Instant openedAt{}; ///< Of its connection.
    Instant sentAt{};
    Instant firstEventAt{};
    Instant endedAt{};    ///< When it broke or was given up.
    Instant reportedAt{}; ///< As one to which the server is silent.
    bool isOverdue = false;
    /** It was given up, and its server has answered a question since. */
    bool isSettled = false;

    bool Counts() const
    {
      return state != State::Unsent && state != State::Survived;
    }
    bool HasEnded() const
    {
      return state == State::GivenUp || state == State::Broken;
    }
  };

  bool IsOf(const Send& aSend, const Incarnation& aServer) const;
  /** Since when the server of a send has been silent. */
  Instant SilentSince(const Send& aSend) const;
  /** Whether the silence of its server says something of a send. */
  static bool MayBeUnheard(const Send& aSend);
  /** Whether the server of a send has been silent to it for long enough. */
  bool IsSilent(const Send& aSend, Instant aNow) const;
  /** Since when an incarnation has been silent to the first of its sends. */
  Instant FirstSilentSince(const Incarnation& aServer) const;

  std::map<Number, Send> sends_;
  std::map<Incarnation, Instant> heardAt_; ///< Last response.
  std::map<Incarnation, Instant> askedAt_;
  std::map<Incarnation, Instant> unheardAskedAt_; ///< Of `TakeUnheard`.
  std::set<Incarnation> unansweredQuestions_;     ///< The same.
  Instant pauseEndedAt_{};
};

} // namespace gypsum
