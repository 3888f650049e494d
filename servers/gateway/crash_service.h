#pragma once

#include "core/gateway/crash_evidence.h"
#include "core/gateway/trait_trials.h"
#include "core/gateway/trait_admission.h"
#include "core/gateway/recent_survivals.h"
#include "core/messages.h"
#include "servers/gateway/crash_detector.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** What decides whether a request may be sent because of its traits. */
struct TraitQuestion
{
  std::shared_ptr<const RequestTraits> traits; ///< Never null.
  std::string service;
  std::optional<std::string> version; ///< The only one that may serve it.
};

/**
 * Finds out, together with the other gateways, which traits of requests crash
 * backend servers, and keeps requests with them away from servers.
 */
class CrashService
{
public:
  using SendNumber = CrashDetector::SendNumber;

  /** How often requests that wait for their turn are looked at. */
  static constexpr Duration kTurnPollInterval = std::chrono::milliseconds(20);

  CrashService(GatewayState& aState, PeerExchange& aPeers);

  /** Whether any trait is not sound. */
  bool HasVerdicts() const { return !evidence_.Verdicts().empty(); }
  /** Decides at once, without waiting for other requests. */
  TraitDecision Decide(const TraitQuestion& aQuestion) const;
  /** Decides at once for the pieces of a request at a stage service. They are
   * not placed by software version, so that one version is enough to refuse
   * them. */
  TraitDecision DecidePieces(const std::string& aRequestName,
                             const std::string& aService) const;
  /** Decides, and waits while other requests try the suspect traits; returns
   * `Wait` if it still has to wait at the deadline. */
  boost::asio::awaitable<TraitDecision> AwaitTurn(TraitQuestion aQuestion,
                                                  Instant aDeadline);

  /** A request is sent; `aSuspects` of its traits are tried. */
  SendNumber OnSent(BackendPtr aBackend,
                    const std::shared_ptr<const RequestTraits>& aTraits,
                    std::vector<std::string> aSuspects);
  /** Learns from the sends how their servers do. */
  CrashDetector& Detector() { return detector_; }

  /** Returns false if the message is not about crashes. */
  bool OnPeerMessage(const Route& aRoute,
                     const PeerHeader& aHeader,
                     PeerBody& aBody);
  /** Tells peers which verdicts this gateway has, and since when it remembers
   * crashes. */
  void FillStatus(GatewayStatus& aStatus) const;
  /** Asks a peer for its reports if they differ from those of this gateway. */
  void OnPeerStatus(const GatewayStatus& aStatus);
  /** Forgets what is old; call it several times a second. */
  void Expire();
  /** How often all evidence was judged anew. */
  std::uint64_t Judgements() const { return evidence_.Judgements(); }
  /** One line for each trait that is not sound. */
  std::string StateText() const;

private:
  CrashDetector::Handlers MakeHandlers();
  std::vector<std::string> VersionsFor(const TraitQuestion& aQuestion) const;
  void OnCrash(const NoticedEnd& aEnd, std::string_view aEvidence);
  void OnSilence(const NoticedEnd& aSilence);
  /** Settles the suspicions against a server that has responded. */
  void OnResponse(const BackendRecord& aBackend, Instant aOpenedAt);
  /** Whether the fleet has started so lately that it may have forgotten what
   * crashed servers before. */
  bool IsFleetNew() const;
  void AdoptMemory(Duration aAge);
  void OnSurvival(const BackendRecord& aBackend, const RequestTraits& aTraits);
  /** Tells the fleet that a trial has ended, if the send is one. */
  void EndTrial(SendNumber aNumber);
  /** Adds reports and logs how the verdicts change; false if nothing is new. */
  bool AddReport(const CrashReport& aReport, std::string_view aSource);
  /** Tells the fleet that servers here survived a trait since its crash before
   * the last, unless another gateway says so first. */
  boost::asio::awaitable<void> AnswerForTrait(std::string aTrait,
                                              std::string aVersion,
                                              Instant aPreviousCrashAt);
  TraitSurvival MakeSurvival(std::string aTrait, std::string aVersion);
  void LogVerdict(const std::string& aTrait, std::string_view aSource) const;
  void LogEnd(std::string_view aEvent,
              const NoticedEnd& aEnd,
              std::string_view aEvidence);
  template<typename Body>
  void Broadcast(const Body& aBody);

  GatewayState& state_;
  PeerExchange& peers_;
  CrashDetector detector_;
  CrashEvidence evidence_;
  TraitTrials trials_;
  RecentSurvivals survivals_;
  std::set<SendNumber> ownTrials_;
  std::uint64_t lastNumber_ = 0; ///< Of a send or a survival.
  Instant lastAskedAt_{};
  /** Since when this gateway, or one that it has learned from, follows crashes.
   */
  Instant rememberedSince_;
  std::minstd_rand random_;
};

} // namespace gypsum
