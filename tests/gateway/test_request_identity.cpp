#include "core/gateway/request_identity.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace gypsum::tests {

namespace {

struct IdentityFixture
{
  RequestIdentity request{ "agency", "POST", "h.example", "/a/b?c=1", "{}" };
};

} // namespace

TEST_CASE_FIXTURE(IdentityFixture,
                  "[RequestIdentity] a repeated request has the same name")
{
  const std::string name = NameOf(request);
  CHECK(NameOf(RequestIdentity(request)) == name);
  request.host = "H.Example";
  CHECK(NameOf(request) == name);
}

TEST_CASE_FIXTURE(IdentityFixture,
                  "[RequestIdentity] a request that differs in one field has "
                  "another name")
{
  const std::string name = NameOf(request);
  SUBCASE("customer")
  {
    request.customer = "other";
  }
  SUBCASE("method")
  {
    request.method = "GET";
  }
  SUBCASE("host")
  {
    request.host = "i.example";
  }
  SUBCASE("path")
  {
    request.target = "/a/%62?c=1";
  }
  SUBCASE("query")
  {
    request.target = "/a/b?c=2";
  }
  SUBCASE("body")
  {
    request.body = "{ }";
  }
  SUBCASE("border between two fields")
  {
    request.target = "/a/b?c=1{";
    request.body = "}";
  }
  CHECK(NameOf(request) != name);
}

TEST_CASE_FIXTURE(IdentityFixture,
                  "[RequestIdentity] a name is short and begins with its "
                  "customer")
{
  CHECK(NameOf(request).starts_with("request:agency/"));
  const std::string longCustomer(10'000, 'c');
  const std::string body(1'000'000, 'b');
  request.customer = longCustomer;
  request.body = body;
  CHECK(NameOf(request).size() < 100);
}

} // namespace gypsum::tests
