#include "core/gateway/store_eras.h"

#include <algorithm>

namespace gypsum {

StoreEras::Verdict StoreEras::OfWatch(std::uint64_t aEra,
                                      std::optional<std::uint64_t> aNamed)
{
  if (!aNamed || *aNamed == aEra) {
    return Verdict::Current;
  }
  return *aNamed < aEra ? Verdict::Older : Verdict::Changed;
}

StoreEras::Verdict StoreEras::OnList(std::optional<std::uint64_t> aNamed)
{
  const Verdict verdict = OfWatch(current_, aNamed);
  if (verdict != Verdict::Changed) {
    candidate_.reset();
    return verdict;
  }
  if (current_ > 0 && candidate_ != aNamed) {
    candidate_ = aNamed;
    return Verdict::Changed;
  }
  candidate_.reset();
  current_ = *aNamed;
  return Verdict::Current;
}

void StoreEras::OnPeer(std::uint64_t aEra)
{
  current_ = std::max(current_, aEra);
}

} // namespace gypsum
