#pragma once

#include "core/gateway/fleet_discovery.h"
#include "core/gateway/peer_liveness.h"
#include "core/gateway/peer_sightings.h"
#include "core/messages.h"
#include "drivers/peer/peer_transport.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/platform_state.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Whether peers that do not answer this gateway may own a duty. */
enum class UnreachablePeers
{
  Include, ///< Two owners at a time would do harm.
  Exclude, ///< A second owner costs work only.
};

/** Whether a list of peers has those that are stopping. */
enum class LeavingPeers
{
  Include,
  Exclude,
};

/**
 * Exchanges state with the other gateways in periodic status messages, and
 * carries the messages of other services.
 *
 * Peers are discovered through the seed addresses and through the peers that
 * other gateways list in their status. Each round goes to a bounded number of
 * peers.
 */
class PeerExchange
{
public:
  /** Time between two rounds to peers that have not been heard right after the
   * start, for `kDiscoveryTime` at least and until the fleet is found: a
   * message that opens a connection may be lost, and peers are found in several
   * steps.
   */
  static constexpr Duration kDiscoveryInterval = std::chrono::milliseconds(50);
  static constexpr Duration kDiscoveryTime = std::chrono::seconds(1);
  /** Peers notified of one long prompt, chosen at random in a larger fleet. */
  static constexpr std::size_t kMaxPromptTargets = 24;
  /** Most cuts between gateways end within this time. */
  static constexpr Duration kRecentTime = std::chrono::seconds(60);
  /** How long a peer is remembered that is no longer heard. */
  static constexpr Duration kMemory = std::chrono::minutes(10);

  using Handler = std::function<void(Route, const PeerHeader&, PeerBody)>;
  using QueueWaitProvider = std::function<std::vector<ServiceWait>()>;
  /** Adds what is told of crashes to the own status. */
  using CrashStatusProvider = std::function<void(GatewayStatus&)>;
  using CrashStatusHandler = std::function<void(const GatewayStatus&)>;
  /** Called with the address of a peer and what its status says of limits. */
  using LimitsHandler =
    std::function<void(const std::string&, std::span<const BackendLimit>)>;

  /** Called with the address of a peer and its status. */
  using ClaimsHandler =
    std::function<void(const std::string&, const GatewayStatus&)>;

  /** Called with the reason. */
  using FailureHandler = std::function<void(std::string_view)>;

  PeerExchange(GatewayState& aState, PlatformState& aPlatformState);

  /** Sets the handler of messages about pieces; call before `Start`. */
  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }
  /** Sets the function that returns the expected queue waits for the status. */
  void SetQueueWaitProvider(QueueWaitProvider aProvider)
  {
    queueWaitProvider_ = std::move(aProvider);
  }
  /** Sets what is told of crashes in the status, and who hears of it. */
  void SetCrashStatus(CrashStatusProvider aProvider,
                      CrashStatusHandler aHandler)
  {
    crashStatusProvider_ = std::move(aProvider);
    crashStatusHandler_ = std::move(aHandler);
  }
  /** Sets who hears what peers say of their knowledge of the store. */
  void SetClaimsHandler(ClaimsHandler aHandler)
  {
    claimsHandler_ = std::move(aHandler);
  }
  /** Sets who hears that no messages are exchanged any more. */
  void SetFailureHandler(FailureHandler aHandler)
  {
    failureHandler_ = std::move(aHandler);
  }
  /** Sets who hears of the limits that peers know. */
  void SetLimitsHandler(LimitsHandler aHandler)
  {
    limitsHandler_ = std::move(aHandler);
  }
  /** Takes the port for peers; see `PeerTransport::Bind`. */
  std::error_code Bind() { return transport_.Bind(); }
  void Start();
  void Stop();

  /** Address of the gateway that owns a stage service's queue; empty if it is
   * this gateway. */
  std::string QueueOwnerOf(std::string_view aService) const;
  /** The owner if a peer were none. */
  std::string QueueOwnerWithout(std::string_view aService,
                                std::string_view aPeer) const;
  /** The same for the owner of any other duty, by the hash of its name. */
  std::string OwnerOf(std::uint64_t aKey) const;
  /** Whether the peer is live and still has the given incarnation. */
  bool IsLive(const std::string& aAddress, Incarnation aIncarnation) const;
  /** Address of the peer with an incarnation; empty if unknown. */
  std::string AddressOf(Incarnation aIncarnation) const;
  /** Incarnation of the peer; zero if unknown. */
  Incarnation IncarnationOf(const std::string& aAddress) const;
  /** Expected wait in the peer's queue, from its last status: zero if the
   * status does not list it, empty if the peer is unknown. */
  std::optional<Duration> QueueWaitAt(const std::string& aAddress,
                                      std::string_view aService,
                                      std::uint32_t aPriority) const;
  /** Addresses of the live peers. */
  std::vector<std::string> LivePeers(LeavingPeers aLeaving) const;
  /** Time since `Start`. */
  Duration Uptime() const;
  /** See `FleetDiscovery::HasOwners`. */
  bool KnowsOwners() const;
  /** Whether the settings name addresses of other gateways. */
  bool HasOtherSeeds() const;
  /** Number of live gateways, including this one. */
  std::size_t LiveGateways() const;
  /** The same, with those that were live within `kRecentTime` and have not said
   * that they leave. */
  std::size_t RecentGateways() const;
  /** The same within `kMemory`. */
  std::size_t KnownGateways() const { return 1 + heardAt_.size(); }

  void SendTo(const std::string& aAddress, PeerBody aBody);
  void SendBack(const Route& aRoute, Incarnation aTarget, PeerBody aBody);
  /** Notifies peers of a long prompt, so that they avoid its backend server. */
  void NotifyPromptSent(const PromptSent& aPrompt);
  /** A peer has not answered what was sent to it since then. If nothing else
   * of it has arrived, it owns no queue for a while. */
  void OnNoAnswer(const std::string& aAddress, Instant aSince);
  /** A peer has told the wait in a queue that it owns. */
  void OnQueueWait(const std::string& aAddress, const ServiceWait& aWait);
  /** A peer has said that it stops, by other means than its status. */
  void OnPeerStopping(const std::string& aAddress, Incarnation aIncarnation);
  /** A response of a backend server says that it leaves. */
  void OnLeavingResponse(const BackendRecord& aBackend);
  /** Sends the status without waiting for the next round. */
  void SendStatusNow();
  PeerTransport::Work TransportWork() const { return transport_.TotalWork(); }
  /** This gateway has begun to stop and owns nothing any more. */
  void AnnounceStop();

private:
  struct Peer
  {
    ProcessId id;
    GatewayStatus status;
    Instant settledAt{}; ///< See `FleetDiscovery::SettledAt`.
    Instant lastReceivedAt{};
    Instant lastAliveAt{}; ///< By its own messages or what others have heard.
    Instant unreachableUntil{};
  };

  /** Of a queue, by its service. */
  struct CachedOwner
  {
    std::string address; ///< Empty if it is this gateway.
    Instant until{};
  };

  boost::asio::awaitable<void> RoundLoop();
  void Receive(Route aRoute, PeerMessage aMessage);
  void OnStatus(const PeerHeader& aHeader, GatewayStatus aStatus);
  /** Makes itself known to a peer that still knows the process before this. */
  void OnStatusForPredecessor(const PeerHeader& aHeader,
                              const GatewayStatus& aStatus);
  bool IsLive(const Peer& aPeer, Instant aNow) const;
  bool IsLeaving(const Peer& aPeer) const;
  std::string OwnerOf(std::uint64_t aKey,
                      std::string_view aExcluded,
                      UnreachablePeers aUnreachable) const;
  /** What is known of peers has changed, so that owners are chosen anew. */
  void ForgetOwners();
  /** Brings up to date what is kept for long of each peer, and forgets those
   * that are gone. */
  void UpdatePeers(Instant aNow);
  /** Peer address of a seed, whose own port is another one. */
  std::string SeedAddress(std::string_view aSeed) const;
  PeerHeader HeaderFor(Incarnation aTarget) const;
  GatewayStatus OwnStatus() const;
  /** Live peers that get the status in this round. */
  std::vector<std::string> RoundTargets();
  /** Addresses from which nothing has been received, of which a round goes to
   * some. */
  std::vector<std::string> UnheardTargets();
  void SendStatusTo(std::vector<std::string> aTargets);

  GatewayState& state_;
  PlatformState& platformState_;
  PeerTransport transport_;
  Handler handler_;
  QueueWaitProvider queueWaitProvider_;
  CrashStatusProvider crashStatusProvider_;
  CrashStatusHandler crashStatusHandler_;
  LimitsHandler limitsHandler_;
  ClaimsHandler claimsHandler_;
  FailureHandler failureHandler_;
  /** When each peer was heard that has not said that it leaves. */
  std::map<std::string, Instant, std::less<>> heardAt_;
  std::map<std::string, Peer, std::less<>> peers_;
  PeerSightings sightings_;
  /** Expiry of each address from which nothing has been received. */
  std::map<std::string, Instant, std::less<>> candidates_;
  mutable std::map<std::string, CachedOwner, std::less<>> owners_;
  std::minstd_rand random_;
  Instant startedAt_{};
  FleetDiscovery discovery_{ Instant{}, false };
};

} // namespace gypsum
