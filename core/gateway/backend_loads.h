#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** What one gateway has at one backend server. */
struct BackendLoad
{
  std::string id;
  std::uint32_t running = 0;             ///< Requests sent and not ended.
  std::uint64_t pendingPromptTokens = 0; ///< Of prompts without a first event.
  bool isUnresponsive = false; ///< Owes an answer for longer than it should.
};

/** What is expected of one backend server now, all gateways together. */
struct LoadEstimate
{
  double running = 0;
  double pendingPromptTokens = 0;
  double latencyRatio = 1.0; ///< Measured time over expected time.
  double failures = 0.0;     ///< Recent share of sends that failed, 0 to 1.
  bool isSuspect = false;    ///< Silent, or not to be reached a moment ago.
};

/** How one send ended, for what is believed of the backend server. */
enum class SendOutcome
{
  Served,
  Failed,      ///< Answered with a failure, rejected or broke off.
  Unreachable, ///< No connection, or silent beyond all expectation.
  Abandoned,   ///< Ended by us or by the client: says nothing.
};

/**
 * Load and condition of the backend servers, as one gateway believes them.
 *
 * Own sends count at once; those of other gateways as last reported. Beliefs
 * fade, so that a server which was avoided is tried again.
 */
class BackendLoads
{
public:
  /** A report of a peer older than this counts for nothing. */
  static constexpr Duration kPeerReportLife = std::chrono::milliseconds(1'500);
  /** Prompt tokens that a model replica reads in a ms beside other work. */
  static constexpr double kPromptTokensPerMs = 45.0;
  /** First pause after a failed connection; doubles up to the longest. */
  static constexpr Duration kFirstPause = std::chrono::milliseconds(300);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(2'000);

  /** A server that owes answers is silent after this and twice the time
   * that was expected: two gaps of a stream. */
  static constexpr Duration kSilence = std::chrono::milliseconds(450);

  /** `aExpected` is the time to the first part of the answer. */
  void OnSent(std::string_view aId,
              std::uint64_t aTokens,
              Duration aExpected,
              Instant aNow);
  /** Some part of any answer came. */
  void OnDataReceived(std::string_view aId, Instant aNow);
  /** The first part of an answer came; `aTokens` as given to `OnSent`. */
  void OnFirstPart(std::string_view aId,
                   std::uint64_t aTokens,
                   Duration aExpected,
                   Duration aActual,
                   Instant aNow);
  /** `aUnread` are tokens of `OnSent` for which no first part came. */
  void OnEnded(std::string_view aId,
               std::uint64_t aUnread,
               SendOutcome aVerdict,
               Instant aNow);

  void OnPeerReport(std::string_view aPeer,
                    std::vector<BackendLoad> aLoads,
                    Instant aNow);
  /** A peer has sent a prompt with so many tokens that are to be read. */
  void OnPeerPromptSent(std::string_view aId,
                        std::uint64_t aTokens,
                        Instant aNow);
  void RemovePeer(std::string_view aPeer);

  LoadEstimate Estimate(std::string_view aId, Instant aNow) const;
  /** Own load for the peers; idle servers are left out. */
  std::vector<BackendLoad> OwnLoads(Instant aNow) const;
  /** Drops what is known of servers that are idle and not in the list. */
  void Retain(std::span<const std::string_view> aIds);

private:
  struct Own
  {
    std::uint32_t running = 0;
    std::uint64_t pendingPromptTokens = 0;
    double latencyRatio = 1.0;
    Instant slownessAt{};
    double failures = 0.0;
    Instant failuresAt{};
    Duration pause{};
    Instant suspectUntil{};
    Instant quietSince{}; ///< Last word, or the first send after a rest.
    Duration owed{};      ///< Longest time expected since then.

    bool IsSilent(Instant aNow) const;
  };
  struct PeerReport
  {
    Instant at{};
    std::map<std::string, BackendLoad, std::less<>> loads;
  };

  Own& OwnOf(std::string_view aId);

  std::map<std::string, Own, std::less<>> own_;
  std::map<std::string, PeerReport, std::less<>> peers_;
  /** When servers have read what peers have sent them, by the stated rate. */
  std::map<std::string, Instant, std::less<>> peersReadBy_;
};

} // namespace gypsum
