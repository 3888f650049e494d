#pragma once

#include "core/gateway/resume_policy.h"
#include "core/gateway/stream_origins.h"
#include "core/messages.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * Remembers, together with the other gateways, which software version began
 * each stream that a client may resume.
 *
 * An origin is copied to some peers when the first event arrives, and to others
 * when this gateway stops. A client may resume at any gateway, which asks all.
 */
class StreamOriginService
{
public:
  /** Makes this gateway read the registry from the store soon. */
  using RegistryReader = std::function<void()>;

  StreamOriginService(GatewayState& aState, PeerExchange& aPeers);

  void SetRegistryReader(RegistryReader aReader)
  {
    readRegistry_ = std::move(aReader);
  }

  /** Stores the origin of a stream and copies it to peers. */
  void OnStreamBegun(ExpiringOrigin aOrigin);
  /** Finds out where a stream that a client resumes may go on. */
  boost::asio::awaitable<ResumeTarget> Find(ResumeQuestion aQuestion);
  /** Returns false if the message is not about origins. */
  bool OnPeerMessage(const Route& aRoute,
                     const PeerHeader& aHeader,
                     PeerBody& aBody);
  /** Copies all origins to peers; call when this gateway begins to stop. */
  void HandOver();
  /** Removes expired origins; call it now and then. */
  void RemoveExpired();

private:
  /** A question to the peers that waits for replies. */
  struct Lookup
  {
    explicit Lookup(boost::asio::io_context& aLoop)
      : changed(aLoop)
    {
    }
    boost::asio::steady_timer changed;
    ResumeQuestion question;
    std::vector<OriginKnowledge> knowledge;
    std::set<std::string> asked;
    std::size_t missingReplies = 0;
    bool hasRecord = false;
    Instant begin{};
  };

  /** Asks peers for a record until one has it, all have answered, or the time
   * is over. */
  boost::asio::awaitable<void> AskAllPeers(std::uint64_t aNumber,
                                           std::shared_ptr<Lookup> aLookup);
  /** Reads the registry from the store, and adds what that shows. */
  boost::asio::awaitable<void> UpdateVersions(std::shared_ptr<Lookup> aLookup);
  OriginCoverage CoverageOf(const Lookup& aLookup) const;
  /** Asks the live peers that have not been asked for this lookup. */
  void AskPeers(std::uint64_t aNumber, Lookup& aLookup);
  OriginKnowledge LocalKnowledge(const ResumeQuestion& aQuestion) const;
  void Store(ExpiringOrigin aOrigin);
  /** Sends origins to the peers that hashing selects for a key. */
  void Copy(std::string_view aKey, const StreamOriginNotice& aNotice);

  GatewayState& state_;
  PeerExchange& peers_;
  RegistryReader readRegistry_;
  StreamOrigins origins_;
  std::map<std::uint64_t, std::shared_ptr<Lookup>> lookups_;
  std::uint64_t lastLookup_ = 0;
  Instant startedAt_;
};

} // namespace gypsum
