#pragma once

#include "core/gateway/store_revision.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/** The parts of the store that a gateway follows. */
enum class StorePart
{
  Configuration,
  Backends,
  Evacuations, ///< Of zones; read together with the configuration.
};

inline constexpr std::array kStoreParts{ StorePart::Configuration,
                                         StorePart::Backends,
                                         StorePart::Evacuations };

constexpr std::string_view NameOf(StorePart aPart)
{
  constexpr std::array<std::string_view, kStoreParts.size()> kNames{
    "configuration", "backends", "evacuations"
  };
  return kNames[static_cast<std::size_t>(aPart)];
}

/** Stands for the age of what is not known at all. */
inline constexpr Duration kUnknownAge = std::chrono::hours(1);

/** What a gateway says of its knowledge of one part of the store. */
struct KnowledgeClaim
{
  /** Revision of the registry. For the configuration its own version, without
   * an era: the operator goes on counting when the store goes back. */
  StoreRevision version;
  /** Time since the store is known to have had nothing newer. */
  Duration age = kUnknownAge;
  /** The same, by responses of the store to this gateway itself. */
  Duration readAge = kUnknownAge;

  bool operator==(const KnowledgeClaim&) const = default;
};

/**
 * What one gateway knows of one part of the store, and up to which moment the
 * store has confirmed it; decides when to ask a peer, and when the store.
 *
 * A few gateways read the store, the others ask them several times a second.
 * A gateway whose knowledge reaches a certain age reads the store itself,
 * whoever else should. The peers' turns are spread by rank, so that a large
 * fleet doesn't read at once, and the first one tells the others.
 *
 * An age is only believed in reply to a question, counted from the question on:
 * a message may have been under way, or this process stopped, for any time.
 */
class StoreKnowledge
{
public:
  /** Number of gateways that read the store while all is well. */
  static constexpr std::size_t kMaxReaders = 4;
  /** A peer without a response of the store for this long is no reader. */
  static constexpr Duration kReaderTimeout = std::chrono::milliseconds(2'800);
  /** Age from which on a gateway reads the store itself. With the spread, half
   * a second is left of the shortest bound for changes. */
  static constexpr Duration kTakeoverAge = std::chrono::milliseconds(1'100);
  static constexpr Duration kTakeoverSpread = std::chrono::milliseconds(400);
  /** How long a gateway reads after that, for peers to elect readers. */
  static constexpr Duration kTakeoverTime = std::chrono::seconds(3);
  /** Age from which on peers are asked, and how often. */
  static constexpr Duration kAskAge = std::chrono::milliseconds(250);
  /** The same when something is wrong: readers confirm more often. */
  static constexpr Duration kUrgentAge = std::chrono::milliseconds(800);
  static constexpr Duration kUrgentAskInterval = std::chrono::milliseconds(100);
  /** Peers reply in a few ms, busy ones in some tens of ms. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
  /** For how long a peer that left a question unanswered is passed over. */
  static constexpr Duration kSilentPeerPause = std::chrono::seconds(1);
  /** Time for a large configuration on a slow link. */
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(300);
  /** Longest time between two confirmations without a gap in the knowledge: no
   * server comes and goes unseen within it. */
  static constexpr Duration kMaxGap = std::chrono::seconds(2);
  /** Knowledge of this age is out of date: other gateways may have more. */
  static constexpr Duration kOutdatedAge = std::chrono::seconds(2);

  /** `aOwnShare` is the processor time of this gateway, in cores. */
  StoreKnowledge(std::string_view aOwnAddress,
                 std::uint64_t aSeed,
                 double aOwnShare = 1.0);

  /** The processor time of a peer: the larger ones read the store, since all
   * others ask them. */
  void OnShare(const std::string& aPeer, double aShare);
  /** A peer says what it knows, unasked. */
  void OnClaim(const std::string& aPeer,
               const KnowledgeClaim& aClaim,
               Instant aNow);
  /** A peer replies to the question of that time. */
  void OnAnswer(const std::string& aPeer,
                const KnowledgeClaim& aClaim,
                Instant aAskedAt,
                Instant aNow);
  /** The store has said that the own version is the newest up to a moment. */
  void OnRead(Instant aUpTo);
  /** The version that this gateway has; call it after each change. */
  void OnVersion(StoreRevision aVersion);
  void RemovePeer(std::string_view aPeer);

  /** Whether this gateway is to read the store now. The live peers are sorted.
   */
  bool IsReader(std::span<const std::string> aLive, Instant aNow);
  /** The peer to ask now for its claim; empty if none is due. */
  std::optional<std::string> ChooseWitness(std::span<const std::string> aLive,
                                           Instant aNow);
  /** A peer was asked because of another part; its answer tells of all. */
  void OnAsked(const std::string& aPeer, Instant aNow);
  /** Whether to ask a peer at once that has just said that it knows more. */
  bool IsWorthAsking(const std::string& aPeer, Instant aNow) const;
  /** The peer to fetch a newer version from now; empty if none is due. */
  std::optional<std::string> ChooseSource(std::span<const std::string> aLive,
                                          Instant aNow);

  /** Peers that `ChooseSource` has looked at so far. */
  std::uint64_t SourcesVisited() const { return sourcesVisited_; }

  StoreRevision Version() const { return version_; }
  KnowledgeClaim Claim(Instant aNow) const;
  /** Time since the own version is known to have been the newest. */
  Duration Age(Instant aNow) const;
  bool IsOutdated(Instant aNow) const { return Age(aNow) >= kOutdatedAge; }
  std::optional<Instant> ConfirmedAt() const { return confirmedAt_; }
  /** Since when the knowledge has had no gap; empty if nothing is known. */
  std::optional<Instant> FollowedSince() const { return followedSince_; }
  /** The age of a peer's knowledge, by its last word. */
  Duration AgeAt(std::string_view aPeer, Instant aNow) const;
  /** Time since the store itself last confirmed it to this gateway. */
  Duration ReadAge(Instant aNow) const;
  /** Who confirmed it last: a peer's address, or `store`. */
  std::string_view Source() const { return source_; }

private:
  struct Peer
  {
    double share = 0.0;  ///< Of a core; zero until it is known.
    double weight = 0.0; ///< Readers are those of the largest weights.
    KnowledgeClaim claim;
    Instant claimedAt{};
    /** First question since its last answer. */
    std::optional<Instant> askedAt;
    /** A version was requested, and has not arrived. */
    std::optional<Instant> fetchedAt;
  };
  /** A peer's word on a version that is still to be fetched. */
  struct PendingConfirmation
  {
    StoreRevision version;
    Instant upTo{};
    std::string source;
  };

  static double WeightOf(std::string_view aAddress, double aShare);
  static bool IsSilent(const std::optional<Instant>& aAskedAt,
                       Duration aTimeout,
                       Instant aNow);
  Peer& PeerOf(const std::string& aAddress);
  const Peer* Find(std::string_view aAddress) const;
  void Confirm(Instant aUpTo, std::string_view aSource);
  bool HasRead(Instant aNow) const;

  double ownWeight_;
  std::minstd_rand random_;
  StoreRevision version_;
  std::optional<Instant> confirmedAt_;
  std::optional<Instant> followedSince_;
  std::optional<Instant> readAt_;
  std::string source_;
  std::optional<PendingConfirmation> pending_;
  Instant readsUntil_{};
  Instant lastAskedAt_{};
  /** The last request for a newer version, until one arrives. */
  std::optional<Instant> fetchingSince_;
  std::map<std::string, Peer, std::less<>> peers_;
  StoreRevision newestClaim_; ///< Of all peers so far.
  std::uint64_t sourcesVisited_ = 0;
};

} // namespace gypsum
