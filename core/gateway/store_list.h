#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace gypsum {

/** Extent of one page of a list of the store. */
struct StorePage
{
  std::string lastKey; ///< Of its last item; empty if it has none.
  std::size_t items = 0;
  bool hasMore = false; ///< By the store's word.
};

/**
 * Progress of a list of the store, whose pages are read one after the other.
 *
 * Ends a list that would go on for ever: each page but the last one has to end
 * at a key at which none has ended before, and pages and items are limited.
 * Which of two keys comes first is for the store to know.
 */
class StoreList
{
public:
  enum class State
  {
    Reading,
    Complete,
    NotAdvancing, ///< The next page would be one that was read already.
    TooLong,
  };
  static constexpr std::size_t kMaxPages = 500;
  static constexpr std::size_t kMaxItems = 100'000;

  /** Takes the next page into account. */
  State OnPage(const StorePage& aPage);
  /** What the list keeps takes more memory than there is. */
  void OnOutOfMemory() { state_ = State::TooLong; }

  State GetState() const { return state_; }
  /** The key after which the next page begins; empty for the first one. */
  const std::string& After() const { return after_; }
  std::size_t Pages() const { return pages_; } ///< Read so far.
  std::size_t Items() const { return items_; } ///< Of these pages.

private:
  State StateAfter(const StorePage& aPage);

  State state_ = State::Reading;
  std::string after_;
  std::set<std::string, std::less<>> ends_; ///< Last keys of the pages.
  std::size_t pages_ = 0;
  std::size_t items_ = 0;
};

/** Name of a state, for logs and metrics. */
std::string_view NameOf(StoreList::State aState);

} // namespace gypsum
