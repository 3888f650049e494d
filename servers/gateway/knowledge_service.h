#pragma once

#include "core/gateway/store_knowledge.h"
#include "core/messages.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/platform_state.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace gypsum {

/**
 * Keeps the knowledge of the store young: asks peers how old theirs is, fetches
 * newer versions from them, and tells them of its own.
 *
 * `StoreKnowledge` decides when, and whom to ask.
 */
class KnowledgeService
{
public:
  KnowledgeService(GatewayState& aState,
                   PlatformState& aPlatformState,
                   PeerExchange& aPeers);

  void Start();
  /** Whether this gateway is to read a part of the store now. */
  bool IsReader(StorePart aPart);
  /** A status of a peer has arrived. */
  void OnPeerStatus(const std::string& aPeer, const GatewayStatus& aStatus);
  /** Tells peers of a newer version. */
  void Announce();
  /** Returns false if the message is not about the store. */
  bool OnPeerMessage(const Route& aRoute,
                     const PeerHeader& aHeader,
                     PeerBody& aBody);

private:
  boost::asio::awaitable<void> RoundLoop();
  void RunRound();
  void OnKnowledgeReply(const PeerHeader& aHeader,
                        const KnowledgeReply& aReply);
  KnowledgeReply OwnKnowledge(std::int64_t aNumber) const;
  void Ask(const std::string& aPeer);
  void AskIfDue(StorePart aPart);
  void FetchIfDue(StorePart aPart);
  /** Logs when the knowledge of a part becomes outdated, and when that ends. */
  void NoteAge(StorePart aPart);

  GatewayState& state_;
  PlatformState& platformState_;
  PeerExchange& peers_;
  std::vector<std::string> live_; ///< As of the last round.
  std::set<StorePart> outdated_;
  bool wasUrgent_ = false;
  std::size_t firstPart_ = 0; ///< Chooses the peer to ask first in a round.
};

} // namespace gypsum
