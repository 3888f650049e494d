#pragma once

#include "core/time.h"
#include "drivers/edge/edge_listener.h"
#include "tests/cell/cell_loop.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gypsum::tests {

/** How the fake store responds. */
enum class StoreMode
{
  Up,
  Unavailable,     ///< 503 for every call.
  TooManyRequests, ///< 429 for every call.
  Unresponsive,    ///< No response for 30 s.
  Reset,           ///< Every call resets its connection.
  CutHead,         ///< Every response ends in the middle of its head.
  Slow,            ///< Every response is delayed by 250 ms.
};

/** The parts of the store that gateways follow. */
enum class StoreContent
{
  Configuration,
  Servers,
};

/** How long a page of a list may be; whatever comes first ends it. */
struct StorePageSize
{
  std::size_t items = 500;
  std::size_t bytes = 1'000'000; ///< Of keys and encoded values.
};

/** How the pages of the lists of one content go wrong. */
enum class StorePageFault
{
  None,
  Repeated, ///< Each page is the first one.
  Empty,    ///< No page after the first has items, but each has a next one.
  Endless,  ///< Each page has items that the next one comes after.
};

/**
 * Fake of the platform's metadata store, with lists and watches.
 *
 * Queries are decoded as forms are; one that is malformed gets a 400.
 */
class CellStore
{
public:
  CellStore(CellLoop& aLoop, std::string aAddress);

  const std::string& Address() const { return doors_.front().address; }
  // The functions below must be called on the loop.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  void SetMode(StoreMode aMode);
  /** Adds an address of the store, for one gateway. */
  void AddDoor(std::string aAddress);
  /** How the store responds at one door; its own mode goes first. */
  void SetDoorMode(std::size_t aDoor, StoreContent aContent, StoreMode aMode);
  /** When the last call for a content came by a door. */
  Instant LastCallAt(std::size_t aDoor, StoreContent aContent) const;
  /** Discards the change history; a watch from an earlier revision gets a
   * 410. */
  void CompactHistory();
  /** Keeps a copy of the content, to come back from. */
  void KeepCopy();
  /** Begins the next era with the content of the copy. */
  void RestoreCopy();
  void SetPageSize(StorePageSize aSize) { pageSize_ = aSize; }
  void SetPageFault(StoreContent aContent, StorePageFault aFault);
  std::uint64_t Calls() const { return calls_; }
  /** Calls for a page of a list. */
  std::uint64_t ListCalls() const { return listCalls_; }
  /** Calls whose query was malformed. */
  std::uint64_t MalformedCalls() const { return malformedCalls_; }
  std::uint64_t Revision() const { return revision_; }

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

  struct Copy
  {
    std::map<std::string, Item> items;
    std::vector<Change> history;
    std::uint64_t revision = 0;
  };

  /** An address of the store, and what happens to the calls there. */
  struct Door
  {
    std::string address;
    std::map<StoreContent, StoreMode> modes;
    std::map<StoreContent, Instant> lastCallAt;
    std::unique_ptr<EdgeListener> listener;
  };

  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient, Door& aDoor);
  boost::asio::awaitable<EdgeResponse> Respond(std::string aTarget,
                                               const Door& aDoor);
  StoreMode ModeOf(const Door& aDoor, StoreContent aContent) const;
  EdgeResponse List(const std::string& aPrefix, const std::string& aAfter);
  boost::asio::awaitable<EdgeResponse> Watch(std::string aPrefix,
                                             std::uint64_t aAfterRevision,
                                             std::uint64_t aWaitMs,
                                             const Door& aDoor);
  std::optional<EdgeResponse> Changes(const std::string& aPrefix,
                                      std::uint64_t aAfterRevision) const;
  EdgeResponse NoChanges() const;
  void AppendChange(Change aChange);
  void WakePendingWatches();

  boost::asio::io_context& loop_;
  std::deque<Door> doors_; ///< The first one has no mode of its own.
  std::set<boost::asio::steady_timer*>
    pendingWatches_; ///< Timers of watches that wait for a change.
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t compactedRevision_ = 0;
  std::uint64_t era_ = 1; ///< In all responses.
  Copy copy_;
  StorePageSize pageSize_;
  std::map<StoreContent, StorePageFault> pageFaults_;
  std::uint64_t calls_ = 0;
  std::uint64_t listCalls_ = 0;
  std::uint64_t endlessItems_ = 0;
  std::uint64_t malformedCalls_ = 0;
  StoreMode mode_ = StoreMode::Up;
};

} // namespace gypsum::tests
