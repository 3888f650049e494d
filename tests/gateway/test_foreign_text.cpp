#include "platform/client_request.h"
#include "platform/configuration_decoder.h"
#include "platform/piece_calls.h"
#include "platform/store_calls.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum::tests {

namespace {

/** Texts that would end a line, a header or a message of peers. */
const std::vector<std::string> kNoTexts{
  "a\r\nInjected: 1", "a\nb",         std::string("a\0b", 3),   "\x7F",
  "\xFF\xFE",         "\xED\xA0\x80", std::string(100'000, 'a')
};

std::string EntryWith(std::string_view aField, const std::string& aText)
{
  boost::json::object entry{
    { "service", "m" },   { "address", "10.0.0.9:8080" },
    { "zone", "z" },      { "version", "v1" },
    { "slots", 64 },      { "state", "ready" },
    { "seq", 4 },         { "born", 17 },
    { "cold-left-ms", 0 }
  };
  entry[aField] = aText;
  return boost::json::serialize(entry);
}

bool IsUsable(std::string_view aId, const std::string& aEntry)
{
  return std::holds_alternative<BackendEntry>(DecodeBackend(aId, aEntry));
}

} // namespace

TEST_CASE("[ForeignText] an entry whose id a header can't hold names no server")
{
  const std::string entry = EntryWith("zone", "z");
  for (const char* const id :
       { "i-1", "a00%25", "a02&b=1", "a06 x", "\xC3\xA9" }) {
    CAPTURE(id);
    CHECK(IsUsable(id, entry));
  }
  for (const std::string& id : kNoTexts) {
    CAPTURE(id.substr(0, 20));
    CHECK_FALSE(IsUsable(id, entry));
  }
  for (const char* const id : { "", " ", " a", "a " }) {
    CAPTURE(id);
    CHECK_FALSE(IsUsable(id, entry));
  }
}

TEST_CASE("[ForeignText] an entry with a field that is no text names no server")
{
  for (const char* const field : { "service", "zone", "version", "state" }) {
    CAPTURE(field);
    for (const std::string& text : kNoTexts) {
      const auto decoded = DecodeBackend("i-1", EntryWith(field, text));
      REQUIRE(std::holds_alternative<DecodeFault>(decoded));
      CHECK(std::get<DecodeFault>(decoded).text.size() < 1'000);
    }
  }
}

TEST_CASE("[ForeignText] an evacuated zone whose name is no text is left out")
{
  const auto decoded = DecodeStoreResponse(
    R"({"items":[{"key":"op/evacuate/","value":"","revision":1},
 {"key":"op/evacuate/a\nb","value":"","revision":2},
 {"key":"op/evacuate/z","value":"","revision":3}],"store-revision":9})",
    1);
  const auto& response = std::get<StoreResponse>(decoded);
  REQUIRE(response.zones.size() == 1);
  CHECK(response.zones.front().zone == "z");
  CHECK(response.faults.size() == 2);
}

TEST_CASE("[ForeignText] a key that is no UTF-8 leaves the other entries of "
          "its page readable")
{
  // "e30=" is {}.
  const auto decoded = DecodeStoreResponse(
    "{\"items\":[{\"key\":\"servers/a\xFF\",\"value\":\"e30=\","
    "\"revision\":1},{\"key\":\"servers/b\",\"revision\":2,"
    "\"removed\":true},{\"key\":\"servers/c\xED\xA0\x80\",\"revision\":3,"
    "\"value\":\"e30=\"}],\"more-pages\":true,\"store-revision\":9}",
    1);
  REQUIRE(std::holds_alternative<StoreResponse>(decoded));
  const auto& response = std::get<StoreResponse>(decoded);
  CHECK(response.backends.size() == 3);
  CHECK(response.faults.size() == 2);
  CHECK(StoreListTarget(StorePart::Backends, response.page.lastKey)
          .ends_with("after=servers/c%ED%A0%80"));
}

TEST_CASE("[ForeignText] half of a surrogate pair in a key leaves the other "
          "entries of its page readable")
{
  const auto lastKeyOf = [](const std::string& aKey) {
    const auto decoded = DecodeStoreResponse(
      R"({"items":[{"key":"servers/a","value":"\\ud800","revision":1},)"
      R"({"key":")" +
        aKey + R"(","value":"e30=","revision":2}],"store-revision":9})",
      1);
    REQUIRE(std::holds_alternative<StoreResponse>(decoded));
    CHECK(std::get<StoreResponse>(decoded).backends.size() == 2);
    return std::get<StoreResponse>(decoded).page.lastKey;
  };
  CHECK(lastKeyOf(R"(servers/b)") == "servers/b");
  CHECK(lastKeyOf(R"(servers/\ud83d\ude00)") == "servers/\xF0\x9F\x98\x80");
  // A byte that is no UTF-8, as some writers escape it.
  CHECK(lastKeyOf(R"(servers/\udcff)") == "servers/\xFF");
  CHECK(lastKeyOf(R"(servers/\ud800b)") == "servers/\xED\xA0\x80"
                                           "b");
  CHECK(lastKeyOf(R"(servers/\\ud800)") == "servers/\\ud800");
}

TEST_CASE("[ForeignText] a configuration with a customer whose name a header "
          "can't hold is rejected")
{
  const auto decode = [](const std::string& aName) {
    return DecodeConfiguration(boost::json::serialize(boost::json::object{
      { "version", 7 },
      { "tenants", { { { "name", aName }, { "api-keys", { "k" } } } } } }));
  };
  CHECK(std::holds_alternative<ServedConfiguration>(decode("caf\xC3\xA9 one")));
  for (const std::string& name : kNoTexts) {
    CAPTURE(name.substr(0, 20));
    CHECK(std::holds_alternative<DecodeFault>(decode(name)));
  }
}

TEST_CASE("[ForeignText] a handle that a list in a header can't hold is an "
          "error of its piece alone")
{
  const auto failureOf = [](const std::string& aHandle) {
    const boost::json::object result{ { "handle", aHandle } };
    const boost::json::object good{ { "handle", "10.0.0.1:1/a" } };
    const auto results =
      DecodePieceResults(boost::json::serialize(boost::json::object{
                           { "items", { result, good } } }),
                         2);
    REQUIRE(results);
    CHECK(results->back().handle == "10.0.0.1:1/a");
    CHECK(results->back().failure == PieceFailure::None);
    CHECK(results->front().handle.empty() !=
          (results->front().failure == PieceFailure::None));
    return results->front().failure;
  };
  CHECK(failureOf("10.0.0.1:1/a%25") == PieceFailure::None);
  for (const std::string& handle : kNoTexts) {
    CAPTURE(handle.substr(0, 20));
    CHECK(failureOf(handle) == PieceFailure::Error);
  }
  for (const char* const handle : { "", "10.0.0.1:1/a,10.0.0.2:1/b", " a" }) {
    CAPTURE(handle);
    CHECK(failureOf(handle) == PieceFailure::Error);
  }
}

TEST_CASE("[ForeignText] ids of a client that no message can hold make its "
          "request malformed")
{
  const auto malformedHeaderOf = [](std::string_view aName,
                                    const std::string& aText) {
    WireRequest request{ boost::beast::http::verb::post, "/a/x", 11 };
    request.set("Attempt-Id", "9c41");
    request.set(aName, aText);
    return DecodeClientAttempt(request).malformedHeader;
  };
  for (const char* const name :
       { "Attempt-Id", "Piece-Key", "Prompt-Prefix", "Resumes" }) {
    CAPTURE(name);
    CHECK(malformedHeaderOf(name, "5c1e07a2").empty());
    CHECK(malformedHeaderOf(name, "a=b;c/+d~").empty());
    CHECK(malformedHeaderOf(name, "9c\xFF\xFE") == name);
    CHECK(malformedHeaderOf(name, "9c\xC3\xA9") == name);
    CHECK(malformedHeaderOf(name, "9c\t41") == name);
  }
}

} // namespace gypsum::tests
