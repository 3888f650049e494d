#pragma once

#include "core/gateway/backend_limits.h"
#include "core/gateway/limit_allotment.h"
#include "core/gateway/send_permissions.h"
#include "core/messages.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * Keeps, together with the other gateways, the limits that backend servers
 * name, and what they take while they are cold.
 *
 * One gateway hands out the places of a server. While that gateway does not
 * answer, the server gets nothing from this one. A gateway that has lost others
 * hands out only the share of those that it still hears.
 */
class LimitService
{
public:
  LimitService(GatewayState& aState, PeerExchange& aPeers);

  /** A response of the server has arrived. */
  void OnResponse(const BackendRecord& aBackend,
                  const LimitStatement& aStatement);
  /** Takes a place in the limit of a server, if it has one or is cold, for a
   * request that is sent next. If there is none, the server is blocked. */
  boost::asio::awaitable<LimitTicket> Acquire(BackendPtr aBackend,
                                              std::uint32_t aPriority);
  /** Returns false if the message is not about limits. */
  bool OnPeerMessage(const Route& aRoute,
                     const PeerHeader& aHeader,
                     PeerBody& aBody);
  void OnPeerLimits(const std::string& aPeer,
                    std::span<const BackendLimit> aLimits);
  /** Forgets what is old; call it several times a second. */
  void Expire();
  /** One line for each limited server. */
  std::string StateText() const;

private:
  /** A question to the gateway that hands out the places. */
  struct Question
  {
    explicit Question(boost::asio::io_context& aLoop)
      : answered(aLoop)
    {
    }
    boost::asio::steady_timer answered;
    std::optional<LimitGrant> grant;
  };

  std::string AllotterOf(std::string_view aBackend) const;
  /** Hands out a place of this gateway's share; `aColdRate` is what a cold
   * server takes by the word of who asks. */
  LimitGrant Allot(const LimitAllotment::Key& aServer,
                   std::optional<double> aColdRate,
                   std::uint32_t aPriority);
  /** How many gateways there are, with those heard within a time. */
  FleetView ViewOfFleet(std::size_t aKnown) const;
  boost::asio::awaitable<LimitGrant> AskAllotter(std::string aAllotter,
                                                 BackendPtr aBackend,
                                                 std::uint32_t aPriority);
  BackendLimit WordOn(const LimitAllotment::Key& aServer) const;
  void LogLimit(const LimitAllotment::Key& aServer,
                std::string_view aSource) const;
  GatewayState& state_;
  PeerExchange& peers_;
  LimitAllotment allotment_;
  std::map<std::uint64_t, std::shared_ptr<Question>> questions_;
  std::uint64_t lastQuestion_ = 0;
  /** Last time at which all peers were told of a server's limit. */
  std::map<LimitAllotment::Key, Instant> toldAt_;
};

} // namespace gypsum
