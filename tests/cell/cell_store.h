#pragma once

#include "drivers/edge/edge_listener.h"
#include "tests/cell/cell_loop.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gypsum::tests {

/** How the store answers. */
enum class StoreMode
{
  Up,
  Unavailable,     ///< 503 to every call.
  TooManyRequests, ///< 429 to every call.
  Unresponsive,    ///< No answer.
  Reset,           ///< Connections are reset.
  Slow,            ///< A quarter of a second later.
};

/** The platform's metadata store, by its published protocol. */
class CellStore
{
public:
  CellStore(CellLoop& aLoop, std::string aAddress);

  const std::string& Address() const { return address_; }
  // All of these run on the loop.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  void SetMode(StoreMode aMode);
  /** Forgets the changes so far and cuts the watches. */
  void CompactHistory();
  std::uint64_t Calls() const { return calls_; }

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Change
  {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<Item> item;
  };

  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient);
  boost::asio::awaitable<EdgeResponse> Respond(std::string aTarget);
  EdgeResponse List(const std::string& aPrefix,
                    const std::string& aAfter) const;
  boost::asio::awaitable<EdgeResponse> Watch(std::string aPrefix,
                                             std::uint64_t aAfter,
                                             std::uint64_t aWaitMs);
  std::optional<EdgeResponse> Changes(const std::string& aPrefix,
                                      std::uint64_t aAfter) const;
  EdgeResponse NoChanges() const;
  void Record(Change aChange);
  void WakeWatches();

  std::string address_;
  boost::asio::io_context& loop_;
  EdgeListener listener_;
  std::set<boost::asio::steady_timer*> watches_; ///< That wait now.
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t compactedRevision_ = 0;
  std::uint64_t calls_ = 0;
  StoreMode mode_ = StoreMode::Up;
};

} // namespace gypsum::tests
