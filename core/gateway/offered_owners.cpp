#include "core/gateway/offered_owners.h"

#include <utility>

namespace gypsum {

void OfferedOwners::OnLost(std::string aOwner, bool aHasEnded)
{
  last_ = std::move(aOwner);
  ++lost_;
  ended_ += aHasEnded ? 1 : 0;
}

OfferedOwners::Next OfferedOwners::Choose() const
{
  if (ended_ >= kMaxEnded) {
    return Next::None;
  }
  if (lost_ == 0) {
    return Next::Owner;
  }
  return lost_ < kMaxSilent ? Next::OwnerAfterLast : Next::ThisGateway;
}

} // namespace gypsum
