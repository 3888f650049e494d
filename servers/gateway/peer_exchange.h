#pragma once

#include "core/messages.h"
#include "drivers/peer/peer_transport.h"
#include "servers/gateway/platform_state.h"
#include "servers/gateway/gateway_state.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * What gateways tell each other: news several times a second, and what one
 * that cannot read the store lacks.
 *
 * Gateways find each other by the seeds and by the peers that others hear. A
 * round goes to a bounded number of them.
 */
class PeerExchange
{
public:
  /** Time between two rounds of news. */
  static constexpr Duration kRound = std::chrono::milliseconds(250);
  /** Peers told in one round; owners of queues come on top. */
  static constexpr std::size_t kFanOut = 8;
  /** Peers told of one long prompt; in a larger fleet some others. */
  static constexpr std::size_t kMostTold = 24;
  /** Gateways that read the store when there are many. */
  static constexpr std::size_t kReaders = 8;

  using Handler = std::function<void(Route, const PeerHeader&, PeerBody)>;
  using WaitsOf = std::function<std::vector<ServiceWait>()>;

  PeerExchange(GatewayState& aState, PlatformState& aPlatformState);

  /** Gets the messages about pieces; before `Start`. */
  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }
  void SetWaits(WaitsOf aWaits) { waitsOf_ = std::move(aWaits); }
  void Start();
  void Stop();

  /** The address of the owner of a stage service's queue; empty: this one. */
  std::string QueueOwnerOf(std::string_view aService) const;
  /** Whether the peer is heard, in the same life as then. */
  bool IsAlive(const std::string& aAddress, Incarnation aIncarnation) const;
  Incarnation IncarnationOf(const std::string& aAddress) const;
  std::optional<Duration> QueueWaitAt(const std::string& aAddress,
                                      std::string_view aService,
                                      std::uint32_t aPriority) const;
  /** Whether this gateway is one of those that read the store. */
  bool IsReader() const;
  std::size_t LiveGateways() const;

  void SendTo(const std::string& aAddress, PeerBody aBody);
  void SendBack(const Route& aRoute, Incarnation aTarget, PeerBody aBody);
  /** Tells peers of a long prompt, so that theirs go elsewhere. */
  void NotifyPromptSent(const PromptSent& aPrompt);
  /** Tells peers at once, as before a stop. */
  void TellNow();

private:
  struct Peer
  {
    ProcessId id;
    GatewayStatus news;
    std::uint64_t version = 0;
    Instant firstHeard{};
    Instant heardAt{};
    Instant lastTold{};
  };

  boost::asio::awaitable<void> RoundLoop();
  void Receive(Route aRoute, PeerMessage aMessage);
  void OnNews(const PeerHeader& aHeader, GatewayStatus aNews);
  void FetchWhatIsMissing();
  bool IsLive(const Peer& aPeer, Instant aNow) const;
  Duration Life() const;
  PeerHeader HeaderFor(Incarnation aTarget) const;
  GatewayStatus OwnNews() const;
  std::vector<std::string> TargetsOfRound();

  GatewayState& state_;
  PlatformState& platformState_;
  PeerTransport transport_;
  Handler handler_;
  WaitsOf waitsOf_;
  std::map<std::string, Peer, std::less<>> peers_;
  std::map<std::string, Instant, std::less<>> candidates_; ///< Until when.
  mutable std::map<std::string, std::string, std::less<>> owners_;
  std::minstd_rand random_;
  Instant startedAt_{};
};

} // namespace gypsum
