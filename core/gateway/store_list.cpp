#include "core/gateway/store_list.h"

#include <array>

namespace gypsum {

StoreList::State StoreList::OnPage(const StorePage& aPage)
{
  ++pages_;
  items_ += aPage.items;
  state_ = StateAfter(aPage);
  if (state_ == State::Reading) {
    after_ = aPage.lastKey;
  }
  return state_;
}

StoreList::State StoreList::StateAfter(const StorePage& aPage)
{
  if (!aPage.hasMore) {
    return State::Complete;
  }
  if (aPage.lastKey.empty() || !ends_.insert(aPage.lastKey).second) {
    return State::NotAdvancing;
  }
  return pages_ >= kMaxPages || items_ >= kMaxItems ? State::TooLong
                                                    : State::Reading;
}

std::string_view NameOf(StoreList::State aState)
{
  constexpr std::array<std::string_view, 4> kNames{
    "reading", "complete", "not-advancing", "too-long"
  };
  return kNames[static_cast<std::size_t>(aState)];
}

} // namespace gypsum
