#include "core/gateway/store_eras.h"

#include <doctest/doctest.h>

#include <limits>

namespace gypsum::tests {

using Verdict = StoreEras::Verdict;

TEST_CASE("[StoreEras] a watch goes on in its era or without one only")
{
  CHECK(StoreEras::OfWatch(2, 2) == Verdict::Current);
  CHECK(StoreEras::OfWatch(2, std::nullopt) == Verdict::Current);
  CHECK(StoreEras::OfWatch(2, 3) == Verdict::Changed);
  CHECK(StoreEras::OfWatch(2, 1) == Verdict::Older);
}

TEST_CASE("[StoreEras] a later era is adopted when two lists in a row name it")
{
  StoreEras eras;
  CHECK(eras.OnList(std::nullopt) == Verdict::Current);
  CHECK(eras.OnList(4) == Verdict::Current);
  CHECK(eras.OnList(6) == Verdict::Changed);
  CHECK(eras.OnList(6) == Verdict::Current);
  CHECK(eras.Current() == 6);
  CHECK(eras.OnList(4) == Verdict::Older);
  CHECK(eras.Current() == 6);
}

TEST_CASE("[StoreEras] a single odd era does not make later responses look old")
{
  StoreEras eras;
  eras.OnList(4);
  CHECK(eras.OnList(std::numeric_limits<std::uint64_t>::max()) ==
        Verdict::Changed);
  CHECK(eras.OnList(4) == Verdict::Current);
  CHECK(eras.OnList(5) == Verdict::Changed);
  CHECK(eras.OnList(5) == Verdict::Current);
}

TEST_CASE("[StoreEras] the era of a peer's entries counts as known")
{
  StoreEras eras;
  eras.OnList(4);
  eras.OnPeer(5);
  CHECK(eras.OnList(4) == Verdict::Older);
  CHECK(eras.OnList(5) == Verdict::Current);
  eras.OnPeer(3);
  CHECK(eras.Current() == 5);
}

} // namespace gypsum::tests
