#pragma once

#include "core/time.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Load that one gateway has placed on one backend server. */
struct BackendLoad
{
  std::string id;
  std::uint32_t running = 0; ///< Requests sent and not yet ended.
  /** Tokens of prompts for which no event has been received. */
  std::uint64_t pendingPromptTokens = 0;
  /** A response is overdue, or one had no end. */
  bool isUnresponsive = false;
};

/** Estimated load and condition of one backend server, over all gateways. */
struct LoadEstimate
{
  double running = 0;
  double pendingPromptTokens = 0;
  double latencyRatio = 1.0; ///< Measured over expected time.
  double failures = 0.0;     ///< Recent share of failed sends, 0 to 1.
  bool isSuspect = false;    ///< Unresponsive, or recently unreachable.
};

/** Outcome of one send, as it counts in the estimate of a backend server. */
enum class SendOutcome
{
  Served,
  Failed,      ///< Error response, rejection or broken connection.
  Unreachable, ///< No connection, or no response within the timeout.
  Abandoned,   ///< Cancelled by the gateway or the client; not counted.
  Endless,     ///< More bytes than any response has; the server is avoided.
};

/**
 * Estimates the load and condition of the backend servers for one gateway.
 *
 * Sends of this gateway count at once, those of its peers as last reported.
 * Estimates decay without new samples, so that a server which was avoided is
 * tried again.
 */
class BackendLoads
{
public:
  /** Older reports of peers are ignored. */
  static constexpr Duration kPeerReportMaxAge =
    std::chrono::milliseconds(1'500);
  /** Prompt tokens a model replica processes per ms alongside other work. */
  static constexpr double kPromptTokensPerMs = 45.0;
  /** A server is suspect for this long after a failed connection; the time
   * doubles with each further one, up to `kMaxBackoff`. */
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(2'000);

  /** The same after a response without end; a server that serves other requests
   * meanwhile is avoided all the same. */
  static constexpr Duration kInitialAvoidance = std::chrono::seconds(2);
  static constexpr Duration kMaxAvoidance = std::chrono::seconds(30);

  /**
   * A server with running requests is unresponsive after twice the expected
   * time plus this margin, which covers two gaps between stream events.
   */
  static constexpr Duration kUnresponsiveMargin =
    std::chrono::milliseconds(450);

  /** `aExpected` is the expected time to the first part of the response. */
  void OnSent(std::string_view aId,
              std::uint64_t aTokens,
              Duration aExpected,
              Instant aNow);
  /** A part of the response to any request was received. */
  void OnDataReceived(std::string_view aId, Instant aNow);
  /**
   * The first part of a response was received.
   *
   * `aTokens` is the value that was given to `OnSent`.
   */
  void OnFirstPart(std::string_view aId,
                   std::uint64_t aTokens,
                   Duration aExpected,
                   Duration aActual,
                   Instant aNow);
  /**
   * A send ended, successfully or not.
   *
   * `aPendingTokens` are its tokens if `OnFirstPart` was not called, else zero.
   */
  void OnEnded(std::string_view aId,
               std::uint64_t aPendingTokens,
               SendOutcome aOutcome,
               Instant aNow);

  void OnPeerReport(std::string_view aPeer,
                    std::span<const BackendLoad> aLoads,
                    Instant aNow);
  /** A peer has sent a prompt; `aTokens` is the part that is not cached. */
  void OnPeerPromptSent(std::string_view aId,
                        std::uint64_t aTokens,
                        Instant aNow);
  void RemovePeer(std::string_view aPeer);

  LoadEstimate Estimate(std::string_view aId, Instant aNow) const;
  /** Loads of peers that all estimates so far have looked at. */
  std::uint64_t PeerLoadsVisited() const { return peerLoadsVisited_; }
  /** Load of this gateway, to report to its peers; omits idle servers, unless
   * they are to be avoided. */
  std::vector<BackendLoad> OwnLoads(Instant aNow) const;
  /** Drops the state of idle servers that are not listed; asks once for each
   * server that it has a state of. */
  template<std::predicate<std::string_view> IsListed>
  void Retain(IsListed aIsListed)
  {
    std::erase_if(localLoads_, [&](const auto& aItem) {
      return aItem.second.running == 0 && !aIsListed(aItem.first);
    });
    std::erase_if(peerLoads_, [&](const auto& aItem) {
      return aItem.second.empty() && !aIsListed(aItem.first);
    });
    std::erase_if(peerPromptsDoneAt_,
                  [&](const auto& aItem) { return !aIsListed(aItem.first); });
  }

private:
  struct LocalLoad
  {
    std::uint32_t running = 0;
    std::uint64_t pendingPromptTokens = 0;
    double latencyRatio = 1.0;
    Instant latencyRatioAt{};
    double failures = 0.0;
    Instant failuresAt{};
    Duration backoff{};
    Instant suspectUntil{};
    Duration avoidance{};
    Instant avoidedUntil{};
    Instant lastActivityAt{};   ///< Last data, or the first send after idle.
    Duration maxExpectedTime{}; ///< Largest expected time since then.

    bool IsUnresponsive(Instant aNow) const;
    /** Whether peers should avoid it too. */
    bool IsToAvoid(Instant aNow) const
    {
      return aNow < avoidedUntil || IsUnresponsive(aNow);
    }
  };
  /** What a peer has reported of one server. */
  struct PeerLoad
  {
    const std::string* peer = nullptr; ///< A key of `reported_`.
    std::uint32_t running = 0;
    std::uint64_t pendingPromptTokens = 0;
    bool isUnresponsive = false;
    Instant at{};
  };
  using PeerLoads = std::vector<PeerLoad>;

  LocalLoad& LocalLoadOf(std::string_view aId);
  /** Drops what a peer has reported last. */
  static void DropReport(const std::string& aPeer,
                         std::vector<PeerLoads*>& aServers);

  std::map<std::string, LocalLoad, std::less<>> localLoads_;
  /** By server: an estimate looks only at the peers that use it. */
  std::map<std::string, PeerLoads, std::less<>> peerLoads_;
  /** The loads of the servers in the last report of each peer. */
  std::map<std::string, std::vector<PeerLoads*>, std::less<>> reported_;
  mutable std::uint64_t peerLoadsVisited_ = 0;
  /** When servers will have processed the prompts that peers announced, at
   * `kPromptTokensPerMs`. */
  std::map<std::string, Instant, std::less<>> peerPromptsDoneAt_;
};

} // namespace gypsum
