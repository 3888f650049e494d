#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace gypsum {

/** Something that several requests may have in common: a part of their prompt,
 * or that they are the same request, sent again. */
struct RequestTrait
{
  std::string name;
  /** Of traits that explain equally many crashes, the one with the highest
   * position is the likelier cause: parts of a prompt in their order, then the
   * request as a whole. */
  std::uint32_t position = 0;

  bool operator==(const RequestTrait&) const = default;
};

/** Position of the trait that a request has in common with its repeats only. */
inline constexpr std::uint32_t kWholeRequest =
  std::numeric_limits<std::uint32_t>::max();

/** Name of a part of a prompt, bounded in length; clients choose the ids. */
std::string NameOfPart(std::string_view aId);

/** How sure it is that an incarnation of a backend server has ended. */
enum class EndProof
{
  Suspected, ///< It has been silent for a while, but may live.
  Confirmed,
};

/** The crash of one incarnation of a backend server, or its silence. */
struct ServerCrash
{
  std::string backend;
  std::uint64_t startedMs = 0; ///< Identifies the incarnation.
  std::string version;         ///< Of its software.
  Duration age{};              ///< Time since the crash.
  /** Restarts before the crash that the registry had not listed. */
  std::uint32_t unlistedRestarts = 0;
  /** Traits of the requests to which it was about to respond. */
  std::vector<RequestTrait> traits;
  EndProof proof = EndProof::Confirmed;
  /** It went on accepting connections, so that a new one shows no restart. */
  bool wasSilent = false;
  /** The gateways had started shortly before, and servers before them: earlier
   * crashes may have been forgotten. */
  bool isFleetNew = false;

  bool operator==(const ServerCrash&) const = default;
};

/** An incarnation of a backend server has responded, as it has not ended. */
struct ServerLife
{
  std::string backend;
  std::uint64_t startedMs = 0; ///< Identifies the incarnation.
  Duration age{};              ///< Time since the response.

  bool operator==(const ServerLife&) const = default;
};

/** A backend server that went on after it began to respond to a trait. */
struct TraitSurvival
{
  std::string trait;
  std::string version;       ///< Of its software.
  std::uint64_t gateway = 0; ///< Incarnation of the gateway that saw it.
  std::uint64_t number = 0;  ///< Unique in that incarnation.
  Duration age{};

  bool operator==(const TraitSurvival&) const = default;
};

/** What one gateway tells another of crashes. */
struct CrashReport
{
  std::vector<ServerCrash> crashes;
  std::vector<TraitSurvival> survivals;
  std::vector<ServerLife> lives;
  /** For how long the sender and those that it has learned from remember
   * crashes; zero in reports of single events. */
  Duration memoryAge{};

  bool operator==(const CrashReport&) const = default;
};

enum class TraitState
{
  Sound,
  Suspect, ///< May crash servers: one request with it at a time.
  Refused, ///< Crashes servers.
};

std::string_view NameOf(TraitState aState);

/** How a trait that is not sound stands, and why. */
struct TraitVerdict
{
  TraitState state = TraitState::Suspect;
  std::size_t crashes = 0;  ///< That no other trait explains.
  std::size_t silences = 0; ///< The same, of servers that may have ended.
  Instant lastCrashAt{};
  /** Until then it is refused although a single crash speaks against it. */
  Instant heldUntil{};
  Instant refusedUntil{}; ///< Of a refused trait.
  std::set<std::string, std::less<>> crashedVersions;
  std::set<std::string, std::less<>> survivedVersions;

  /** Whether nothing may be sent until some of the silences are explained. */
  bool MustAwaitProof() const;
};

/**
 * Finds the traits of requests that crash backend servers.
 *
 * The crash of an incarnation counts once for each trait to which the server
 * was about to respond, however many requests and gateways saw it. Crashes in
 * quick succession count once, so that the loss of many servers at a time is no
 * evidence. A server that survives a trait takes back one crash of its software
 * version. Of the traits that crashes have in common, the one with the most
 * crashes explains them, and they no longer count for the others.
 *
 * A server that has been silent for a while is suspected to have ended until
 * that is confirmed or it responds. Suspicions make a trait suspect, and enough
 * of them stop it until they are settled, but they never refuse it.
 *
 * All gateways may start at once and forget what crashed servers before. For
 * some time from then on, the crash of a single server holds its traits back.
 *
 * Gateways exchange their reports; those that have the same ones agree.
 *
 * A report judges the traits that it concerns. All are judged anew only while a
 * trait is refused, which explains crashes for others, or in a new fleet, where
 * crashes at the same time bear on each other.
 */
class CrashEvidence
{
public:
  /** Crashes without a survival between them that make a trait refused. */
  static constexpr std::size_t kCrashesToRefuse = 3;
  /** Crashes of a trait within this time count as one. */
  static constexpr Duration kCrashSpacing = std::chrono::milliseconds(500);
  /** Time after which a crash is forgotten, and after which a refused trait may
   * be tried again; it doubles with each try that crashes a server. */
  static constexpr Duration kMemory = std::chrono::minutes(10);
  /** Time after which a suspicion that was never settled is dropped; longer
   * than the registry takes to list an end, and a probe after it. */
  static constexpr Duration kSuspicionMemory = std::chrono::seconds(8);
  /** How long a fleet counts as new. */
  static constexpr Duration kNewFleetTime = std::chrono::seconds(30);
  /** Two gateways may send the same request before either knows of a crash. */
  static constexpr std::ptrdiff_t kMostSingleCrashes = 2;
  /** How long a single crash in a new fleet holds a trait back; less than the
   * time in which a fleet must have recovered. */
  static constexpr Duration kNewFleetHold = std::chrono::seconds(10);
  /** Versions that a trait has crashed until no other one may try it. */
  static constexpr std::size_t kMaxCrashedVersions = 3;
  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxTraitsPerCrash = 256;
  /** Over all crashes: requests that are never sent twice leave one each. */
  static constexpr std::size_t kMaxTraits = 4'096;
  static constexpr std::size_t kMaxSurvivals = 512;

  /** Restarts since an incarnation was listed, as shown by a connection that
   * was opened after a crash. */
  std::uint32_t RestartsBefore(std::string_view aBackend,
                               std::uint64_t aStartedMs,
                               Instant aOpenedAt) const;
  /** Adds what is new and matters; false if nothing does. */
  bool Add(const CrashReport& aReport, Instant aNow);
  void Expire(Instant aNow);
  /** Whether a response now, on a connection that was opened at a time, shows
   * that a server lives which is suspected to have ended. */
  bool IsSettledBy(std::string_view aBackend,
                   std::uint64_t aStartedMs,
                   Instant aOpenedAt,
                   Instant aNow) const;
  /** How a trait stands at servers of a software version. */
  TraitState StateOf(std::string_view aTrait,
                     std::string_view aVersion,
                     Instant aNow) const;
  /** All traits that are not sound. */
  const std::map<std::string, TraitVerdict, std::less<>>& Verdicts() const
  {
    return verdicts_;
  }
  /** The traits that the last new report has judged, each as it stood before:
   * empty if it was sound. */
  const std::map<std::string, std::optional<TraitVerdict>, std::less<>>&
  FormerVerdicts() const
  {
    return formerVerdicts_;
  }
  CrashReport Report(Instant aNow) const;
  /** Traits that have been judged so far, each time counted. */
  std::uint64_t Judgements() const { return judgements_; }
  /** Equal for gateways whose verdicts agree; zero without any. */
  std::uint64_t Digest() const;

private:
  /** Backend server, start of its listed incarnation, unlisted restarts. */
  using CrashKey = std::tuple<std::string, std::uint64_t, std::uint32_t>;
  using SurvivalKey = std::pair<std::uint64_t, std::uint64_t>;

  struct Crash
  {
    std::string version;
    Instant at{};
    std::map<std::string, std::uint32_t, std::less<>> positions; ///< By trait.
    EndProof proof = EndProof::Confirmed;
    bool wasSilent = false;
    bool isFleetNew = false;
    bool isExplained = false; ///< By a refused trait.
  };
  struct Survival
  {
    std::string trait;
    std::string version;
    Instant at{};
  };
  /** What speaks for and against one trait. The pointers lead to `crashes_` and
   * `survivals_`. */
  struct TraitEvents
  {
    std::vector<std::pair<const Crash*, std::uint32_t>> crashes; ///< Position.
    std::vector<const Survival*> survivals;
  };
  using TouchedTraits = std::set<std::string, std::less<>>;
  /** One crash that counts for a trait, with those shortly after it. */
  struct CountedCrash
  {
    std::string version;
    EndProof proof = EndProof::Confirmed;
    std::size_t weight = 1;
  };
  /** Crashes that count for one trait. */
  struct Score
  {
    std::uint32_t position = 0;
    std::vector<Instant> countedAt;
    std::vector<CountedCrash> counted; ///< After survivals were taken off.
    Instant heldUntil{};
    std::set<std::string, std::less<>> survivedVersions;

    void OnCrash(const Crash& aCrash, std::uint32_t aPosition, bool aIsSingle);
    void OnSurvival(const Survival& aSurvival);
    std::size_t Count(EndProof aProof) const;
    TraitVerdict ToVerdict(TraitState aState) const;
  };

  using Crashes = std::map<CrashKey, Crash>;
  using CrashRange =
    std::pair<Crashes::const_iterator, Crashes::const_iterator>;

  bool AddCrash(const ServerCrash& aCrash,
                Instant aNow,
                TouchedTraits& aTouched);
  bool AddSurvival(const TraitSurvival& aSurvival, Instant aNow);
  /** Drops the suspicions that a response has settled. */
  bool AddLife(const ServerLife& aLife, Instant aNow, TouchedTraits& aTouched);
  void Link(const std::string& aTrait, const Crash& aCrash);
  /** Takes the traits off a crash. */
  void Unlink(Crash& aCrash, TouchedTraits& aTouched);
  using Survivals = std::map<SurvivalKey, Survival>;
  void EraseSurvival(Survivals::iterator aSurvival);
  bool IsExpired(const Crash& aCrash, Instant aNow) const;
  Crashes::iterator Erase(Crashes::iterator aCrash, TouchedTraits& aTouched);
  /** The crashes of one incarnation. */
  CrashRange CrashesOf(std::string_view aBackend,
                       std::uint64_t aStartedMs) const;
  /** Whether few servers crashed shortly before or after, so that they have not
   * been lost together. */
  bool IsSingle(const Crash& aCrash) const;
  /** Judges these traits, or all if others may depend on them. */
  void Judge(const TouchedTraits& aTouched);
  void JudgeAll();
  /** Keeps the verdict of a trait as the one before the report. */
  void KeepFormer(const std::string& aTrait);
  /** By the crashes that no refused trait explains. */
  Score ScoreOf(const TraitEvents& aEvents) const;
  bool IsAnyFleetNew() const;
  void BoundMemory(TouchedTraits& aTouched);

  Crashes crashes_;
  Survivals survivals_;
  std::map<std::string, TraitEvents, std::less<>> traits_;
  std::size_t linkedTraits_ = 0; ///< Over all crashes.
  std::map<std::string, TraitVerdict, std::less<>> verdicts_;
  std::map<std::string, std::optional<TraitVerdict>, std::less<>>
    formerVerdicts_;
  /** To be judged with the next new report: another gateway has seen one of
   * their crashes earlier. */
  TouchedTraits stale_;
  bool isAnyRefused_ = false;
  std::uint64_t judgements_ = 0;
};

} // namespace gypsum
