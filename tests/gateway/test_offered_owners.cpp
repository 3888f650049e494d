#include "core/gateway/offered_owners.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

using Next = OfferedOwners::Next;

TEST_CASE("[OfferedOwners] a job goes to the owner, the next one, and is then "
          "computed by its own gateway")
{
  OfferedOwners owners;
  CHECK(owners.Choose() == Next::Owner);
  owners.OnLost("a", false);
  CHECK(owners.Choose() == Next::OwnerAfterLast);
  CHECK(owners.Last() == "a");
  owners.OnLost("b", false);
  CHECK(owners.Choose() == Next::ThisGateway);
}

TEST_CASE("[OfferedOwners] an owner that has ended leaves the job to others")
{
  OfferedOwners owners;
  owners.OnLost("a", true);
  CHECK(owners.Choose() == Next::OwnerAfterLast);
  owners.OnLost("b", false);
  CHECK(owners.Choose() == Next::ThisGateway);
}

// Guards against a job that ends one owner after the other.
TEST_CASE("[OfferedOwners] a job with which two owners ended is given up")
{
  OfferedOwners owners;
  owners.OnLost("a", true);
  owners.OnLost("b", true);
  CHECK(owners.Choose() == Next::None);
}

} // namespace gypsum::tests
