#include "core/gateway/route_table.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

namespace {

RouteSpec Route(std::string aHost, std::string aPrefix, std::string aName)
{
  RouteSpec route;
  route.host = std::move(aHost);
  route.prefix = std::move(aPrefix);
  route.name = std::move(aName);
  route.targets = { { "a", 90.0 }, { "b", 10.0 } };
  return route;
}

RouteTable Table()
{
  auto configuration = std::make_shared<ServedConfiguration>();
  configuration->routes = { Route("h.example", "/", "root"),
                            Route("h.example", "/a/", "a"),
                            Route("h.example", "/a/b/", "ab"),
                            Route("other.example", "/only/", "only") };
  configuration->customersByKey = { { "key-1", { "one", 1 } } };
  return RouteTable(configuration);
}

std::string NameOf(const RouteSpec* aRoute)
{
  return aRoute ? aRoute->name : "none";
}

} // namespace

TEST_CASE(
  "[RouteTable] a path takes the route with the longest matching prefix")
{
  const RouteTable table = Table();
  CHECK(NameOf(table.Find("h.example", "/a/b/c")) == "ab");
  CHECK(NameOf(table.Find("h.example", "/a/b/")) == "ab");
  CHECK(NameOf(table.Find("h.example", "/a/b")) == "a");
  CHECK(NameOf(table.Find("h.example", "/ab/x")) == "root");
  CHECK(NameOf(table.Find("h.example", "/a/x?y=/a/b/z")) == "a");
}

TEST_CASE("[RouteTable] a host with a port finds the host's routes")
{
  CHECK(NameOf(Table().Find("h.example:8080", "/a/x")) == "a");
}

TEST_CASE("[RouteTable] a path or host without a route finds none")
{
  CHECK(Table().Find("other.example", "/") == nullptr);
  CHECK(Table().Find("unknown.example", "/a/") == nullptr);
  CHECK(Table().Find("other.example", "") == nullptr);
}

TEST_CASE("[RouteTable] a key finds its customer and an unknown key none")
{
  const RouteTable table = Table();
  REQUIRE(table.FindCustomer("key-1") != nullptr);
  CHECK(table.FindCustomer("key-1")->name == "one");
  CHECK(table.FindCustomer("key-2") == nullptr);
  CHECK(table.FindCustomer("") == nullptr);
}

TEST_CASE("[RouteTable] a split route distributes requests by weight")
{
  const RouteSpec route = Route("h", "/", "split");
  int first = 0;
  constexpr int kRequests = 10'000;
  for (std::uint64_t request = 0; request < kRequests; ++request) {
    const RouteTarget* const target =
      ChooseTarget(route, request * 0x9e3779b97f4a7c15ULL);
    REQUIRE(target != nullptr);
    first += target->service == "a" ? 1 : 0;
  }
  CHECK(first > 8'800);
  CHECK(first < 9'200);
}

TEST_CASE("[RouteTable] with one priority for all customers, route priorities "
          "still rank requests")
{
  RouteSpec urgent = Route("h", "/", "urgent");
  RouteSpec plain = Route("h", "/", "plain");
  urgent.priority = 0;
  plain.priority = 2;
  const CustomerSpec usual{ "c", 1 };
  const CustomerSpec preferred{ "d", 0 };
  CHECK(UrgencyRank(urgent, &usual) < UrgencyRank(plain, &usual));
  CHECK(UrgencyRank(plain, &preferred) < UrgencyRank(plain, &usual));
  CHECK(UrgencyRank(plain, nullptr) == 2);
  const CustomerSpec without{ "e", std::nullopt };
  CHECK(UrgencyRank(plain, &without) == 2);
}

TEST_CASE("[RouteTable] a target without weight is never chosen")
{
  RouteSpec route = Route("h", "/", "split");
  route.targets = { { "a", 0.0 }, { "b", 1.0 } };
  for (std::uint64_t hash = 0; hash < 100; ++hash) {
    CHECK(ChooseTarget(route, hash)->service == "b");
  }
  route.targets = { { "a", 0.0 } };
  CHECK(ChooseTarget(route, 1) == nullptr);
}

} // namespace gypsum::tests
