#include "platform/backend_response_head.h"
#include "platform/client_request.h"
#include "platform/configuration_decoder.h"
#include "platform/piece_calls.h"
#include "platform/store_calls.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace gypsum::tests {

namespace {

constexpr std::string_view kConfiguration = R"({"version":7,"routes":[
 {"name":"a","host":"h.example","prefix":"/a/","kind":"streaming",
  "timeout-ms":8000,"target-latency-ms":1000,"priority":1,
  "traffic-split":[{"service":"m","weight":90},{"service":"n","weight":10}],
  "max-attempts":2,"resumable":true,"gap-target-ms":300,
  "stages":[{"service":"p","after":[],"bytes":3000000},
            {"service":"q","after":[0],"bytes":60000}]},
 {"name":"b","host":"h.example","prefix":"/b/","kind":"non_idempotent",
  "service":"m","public":true}],
 "services":[{"name":"m","max-conns":370,
   "engine":{"slots":64,"kv-capacity-tokens":631045}},
  {"name":"p","pieces":{"slots":1,"queue":2,"batch":8,"call-ms":150.0,
   "item-ms":16.0,"headroom-mb":36.0,"handle-s":4.0}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}]})";

ServedConfiguration DecodeSample()
{
  auto decoded = DecodeConfiguration(kConfiguration);
  REQUIRE(std::holds_alternative<ServedConfiguration>(decoded));
  return std::get<ServedConfiguration>(std::move(decoded));
}

std::string RegistryEntry(const std::string& aChange = "")
{
  return R"({"service":"m","address":"10.0.0.9:8080","zone":"z","version":"v1",
 "slots":64,"state":"ready","cold-left-ms":0,"seq":4,"born":17)" +
         aChange + "}";
}

WireRequest ClientRequest()
{
  WireRequest request{ boost::beast::http::verb::post, "/a/x?y=1", 11 };
  request.set("Host", "h.example");
  request.set("Attempt-Id", "9c41");
  request.set("Credential", "secret");
  request.set("Tenant", "forged");
  request.set("Hold", "forged");
  request.set("Kv-From", "forged");
  request.set("Deadline-Ms", "8000");
  request.set("Token-Counts", "1460,80");
  request.set("Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
  request.set("Pieces", "2,0,8");
  request.set("Piece-Key", "pk");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("X-End", "2");
  request.body() = "body";
  return request;
}

} // namespace

TEST_CASE("[Platform] a valid configuration is decoded completely")
{
  const ServedConfiguration configuration = DecodeSample();
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 2);
  const RouteSpec& stream = configuration.routes[0];
  CHECK(stream.repeatability == Repeatability::ResumableStream);
  CHECK(stream.timeout == std::chrono::seconds(8));
  CHECK(stream.targetTime == std::chrono::seconds(1));
  CHECK(stream.targets.size() == 2);
  REQUIRE(stream.stages.size() == 2);
  CHECK(stream.stages[1].inputStages == std::vector<std::uint32_t>{ 0 });
  CHECK(configuration.routes[1].repeatability == Repeatability::AtMostOnce);
  CHECK(configuration.routes[1].isPublic);
  CHECK(configuration.customersByKey.at("k2").name == "t");
  const BatchSpec batches = *configuration.services.at("p").batches;
  CHECK(batches.maxPieces == 8);
  CHECK(batches.resultCapacityBytes == 36'000'000);
  CHECK(batches.resultLifetime == std::chrono::seconds(4));
  CHECK(configuration.services.at("m").engine->kvCapacityTokens == 631'045);
}

// Guards against a list that is empty or of another type and lets any key in.
TEST_CASE(
  "[Platform] only a configuration without a list of customers asks for "
  "no key")
{
  const auto hasCustomers = [](const std::string& aRest) {
    const auto decoded = DecodeConfiguration("{\"version\":7" + aRest + "}");
    REQUIRE(std::holds_alternative<ServedConfiguration>(decoded));
    return std::get<ServedConfiguration>(decoded).hasCustomers;
  };
  CHECK_FALSE(hasCustomers(""));
  CHECK(hasCustomers(R"(,"tenants":[])"));
  CHECK(hasCustomers(R"(,"tenants":[{"name":"t"}])"));
  CHECK(hasCustomers(R"(,"tenants":[{"name":"t","api-keys":[]}])"));
}

TEST_CASE("[Platform] a configuration with a list of another type is rejected")
{
  const std::string route =
    R"({"name":"b","host":"h","prefix":"/b/","kind":"idempotent","service":"m")";
  for (const std::string& rest :
       { std::string(R"("tenants":null)"),
         std::string(R"("tenants":{"name":"t"})"),
         std::string(R"("tenants":[{"name":"t","api-keys":"k"}])"),
         std::string(R"("routes":{})"),
         std::string(R"("services":7)"),
         R"("routes":[)" + route + R"(,"stages":{}}])",
         R"("routes":[)" + route + R"(,"traffic-split":"m"}])" }) {
    CAPTURE(rest);
    CHECK(std::holds_alternative<DecodeFault>(
      DecodeConfiguration("{\"version\":7," + rest + "}")));
  }
  CHECK(std::holds_alternative<ServedConfiguration>(
    DecodeConfiguration("{\"version\":7,\"routes\":[" + route + "}]}")));
}

TEST_CASE("[Platform] an invalid configuration is rejected with a reason")
{
  for (const char* const text : { "",
                                  "[]",
                                  "{}",
                                  R"({"version":"7"})",
                                  R"({"version":7,"routes":[{}]})",
                                  R"({"version":7,"routes":[7]})" }) {
    CAPTURE(std::string(text));
    const auto decoded = DecodeConfiguration(text);
    REQUIRE(std::holds_alternative<DecodeFault>(decoded));
    CHECK_FALSE(std::get<DecodeFault>(decoded).text.empty());
  }
}

TEST_CASE(
  "[Platform] a registry entry with missing or invalid fields is rejected")
{
  const auto good = DecodeBackend("i-1", RegistryEntry());
  REQUIRE(std::holds_alternative<BackendEntry>(good));
  CHECK(std::get<BackendEntry>(good).record.startedMs == 17);
  CHECK(std::get<BackendEntry>(good).record.version == "v1");
  CHECK(std::get<BackendEntry>(good).coldFor == Duration{});
  const auto cold =
    DecodeBackend("i-1", RegistryEntry(R"(,"cold-left-ms":1200.5)"));
  REQUIRE(std::holds_alternative<BackendEntry>(cold));
  CHECK(std::get<BackendEntry>(cold).coldFor == Duration(1'200'500));
  for (const std::string& text : { std::string("not json"),
                                   std::string("{}"),
                                   RegistryEntry(R"(,"state":"new")"),
                                   RegistryEntry(R"(,"slots":"64")"),
                                   RegistryEntry(R"(,"slots":1.5)"),
                                   RegistryEntry(R"(,"address":"nowhere")"),
                                   RegistryEntry(R"(,"born":1.5)"),
                                   RegistryEntry(R"(,"seq":-1)"),
                                   RegistryEntry(R"(,"zone":7)") }) {
    CAPTURE(text);
    CHECK(std::holds_alternative<DecodeFault>(DecodeBackend("i-1", text)));
  }
}

TEST_CASE(
  "[Platform] a store response with items, removals and a next page is decoded")
{
  // "e30=" is {}.
  const auto decoded = DecodeStoreResponse(
    R"({"items":[{"key":"op/config","value":"e30=","revision":4},
 {"key":"servers/i-1","value":"e30=","revision":5},
 {"key":"servers/i-2","revision":6,"removed":true}],
 "more-pages":true,"store-revision":9})",
    3);
  REQUIRE(std::holds_alternative<StoreResponse>(decoded));
  const StoreResponse& response = std::get<StoreResponse>(decoded);
  CHECK(response.revision == StoreRevision{ 3, 9 });

  REQUIRE(response.configuration);
  CHECK(response.configuration->text == "{}");
  REQUIRE(response.backends.size() == 2);
  CHECK(response.backends[0].revision == StoreRevision{ 3, 5 });
  CHECK(response.backends[0].isUnreadable);
  CHECK_FALSE(response.backends[1].isUnreadable);
  CHECK_FALSE(response.backends[1].record);
  CHECK(response.page.lastKey == "servers/i-2");
  CHECK(response.page.items == 3);
  CHECK(response.page.hasMore);
  for (const char* const text :
       { "", "{}", R"({"items":[]})", R"({"store-revision":1})", "[1]" }) {
    CHECK(std::holds_alternative<DecodeFault>(DecodeStoreResponse(text, 0)));
  }
}

TEST_CASE("[Platform] a page without items keeps that there are more")
{
  const auto decoded = DecodeStoreResponse(
    R"({"items":[],"more-pages":true,"store-revision":9})", 3);
  REQUIRE(std::holds_alternative<StoreResponse>(decoded));
  const StorePage& page = std::get<StoreResponse>(decoded).page;
  CHECK(page.hasMore);
  CHECK(page.items == 0);
  CHECK(page.lastKey.empty());
}

TEST_CASE("[Platform] the target of a list holds any key for any decoder")
{
  const auto decode = [](const std::string& aTarget, bool aIsForm) {
    const auto url = boost::urls::parse_relative_ref(aTarget);
    REQUIRE(url);
    std::map<std::string, std::string> query;
    boost::urls::encoding_opts options;
    options.space_as_plus = aIsForm;
    for (const auto& parameter : url->params(options)) {
      query[parameter.key] = parameter.value;
    }
    return query;
  };
  std::minstd_rand random(73);
  constexpr std::size_t kMaxKeyBytes = 200;
  constexpr int kKeys = 2'000;
  for (int round = 0; round < kKeys; ++round) {
    std::string key(1 + random() % kMaxKeyBytes, '\0');
    std::ranges::generate(key,
                          [&] { return static_cast<char>(random() % 256); });
    const std::string target = StoreListTarget(StorePart::Backends, key);
    CAPTURE(target);
    for (const bool isForm : { false, true }) {
      const auto query = decode(target, isForm);
      REQUIRE(query.size() == 2);
      CHECK(query.at("prefix") == "servers/");
      CHECK(query.at("after") == key);
    }
  }
  CHECK(decode(StoreListTarget(StorePart::Configuration, ""), true) ==
        std::map<std::string, std::string>{ { "prefix", "op/" } });
  CHECK(decode(StoreWatchTarget(StorePart::Backends, 7, 700), true) ==
        std::map<std::string, std::string>{
          { "prefix", "servers/" }, { "after", "7" }, { "wait-ms", "700" } });
}

TEST_CASE("[Platform] the era of the store is a whole number or none")
{
  CHECK(DecodeStoreEra("7") == 7U);
  CHECK(DecodeStoreEra("18446744073709551615") ==
        std::numeric_limits<std::uint64_t>::max());
  for (const char* const text :
       { "", " 7", "7 ", "-1", "1.5", "0x7", "era", "18446744073709551616" }) {
    CAPTURE(text);
    CHECK_FALSE(DecodeStoreEra(text));
  }
}

TEST_CASE("[Platform] the header fields of a client request are decoded")
{
  const ClientAttempt attempt = DecodeClientAttempt(ClientRequest());
  CHECK(attempt.id == "9c41");
  CHECK(attempt.customerKey == "secret");
  CHECK(attempt.timeLeft == std::chrono::seconds(8));
  CHECK(attempt.prompt.tokens == 1'460);
  REQUIRE(attempt.prompt.parts.size() == 3);
  CHECK(attempt.prompt.SharedPrefixes().back().tokens == 1'210);
  CHECK(attempt.pieces == std::vector<std::uint32_t>{ 2, 0, 8 });
  CHECK(attempt.pieceKey == "pk");
}

// Guards against numbers that are used before they are checked: one that was
// cut to 32 bits or added to a clock ended a process.
TEST_CASE("[Platform] a malformed number in a client header is named and not "
          "used")
{
  CHECK(DecodeClientAttempt(ClientRequest()).malformedHeader.empty());
  const std::vector<std::pair<std::string, std::vector<std::string>>> rows{
    { "Deadline-Ms",
      { "soon", "-1", "1.5", "86400001", "9223372036854775807" } },
    { "Token-Counts", { "x", "1,-1", "100000001", "18446744073709551616" } },
    { "Prompt-Prefix", { "b:c", "b:", "b:-1", "b:100000001", "a:1,b:c" } },
    { "Pieces",
      { "-1", "two", "2,x", "1000001", "4294967296", "99999999999999999999" } },
  };
  for (const auto& row : rows) {
    const std::string& header = row.first;
    for (const std::string& value : row.second) {
      CAPTURE(header);
      CAPTURE(value);
      WireRequest request = ClientRequest();
      request.set(header, value);
      const ClientAttempt attempt = DecodeClientAttempt(request);
      CHECK(attempt.malformedHeader == header);
      CHECK(attempt.timeLeft.has_value() == (header != "Deadline-Ms"));
      CHECK((attempt.prompt.tokens == 0) == (header == "Token-Counts"));
      CHECK(attempt.prompt.parts.empty() == (header == "Prompt-Prefix"));
      CHECK(attempt.pieces.empty() == (header == "Pieces"));
    }
  }
}

TEST_CASE("[Platform] the largest numbers of client headers are read")
{
  WireRequest request = ClientRequest();
  request.set("Deadline-Ms", "86400000");
  request.set("Token-Counts", "100000000,1");
  request.set("Prompt-Prefix", ",,a,b:100000000");
  request.set("Pieces", "0,1000000");
  const ClientAttempt attempt = DecodeClientAttempt(request);
  CHECK(attempt.malformedHeader.empty());
  CHECK(attempt.timeLeft == std::chrono::hours(24));
  CHECK(attempt.prompt.tokens == 100'000'000);
  REQUIRE(attempt.prompt.parts.size() == 2);
  CHECK(attempt.prompt.parts.front().tokens == 0);
  CHECK(attempt.pieces == std::vector<std::uint32_t>{ 0, 1'000'000 });
}

TEST_CASE("[Platform] a backend request carries no hop-by-hop or client-set "
          "system headers")
{
  BackendHeaders headers;
  headers.expectedId = "i-1";
  headers.timeLeft = std::chrono::milliseconds(750);
  headers.customer = "t";
  headers.urgency = 3;
  headers.inputs = "10.0.0.1:1/a,10.0.0.1:1/b";
  const WireRequest request = ToBackendRequest(ClientRequest(), headers);
  CHECK(request.target() == "/a/x?y=1");
  CHECK(request.body() == "body");
  CHECK(request["Content-Length"] == "4");
  CHECK(request["Attempt-Id"] == "9c41");
  CHECK(request["Expect-Replica"] == "i-1");
  CHECK(request["Tenant"] == "t");
  CHECK(request["Deadline-Ms"] == "750");
  CHECK(request["Urgency-Class"] == "3");
  CHECK(request["X-End"] == "2");
  for (const char* const name :
       { "Credential", "Hold", "Kv-From", "X-Hop", "Connection" }) {
    CAPTURE(std::string(name));
    CHECK(request.count(name) == 0);
  }
}

TEST_CASE("[Platform] the header of a backend response is decoded and filtered "
          "for the client")
{
  HttpResponseHead head;
  head.result(503);
  head.set("Not-Executed", "1");
  CHECK(DecodeBackendResponseHead(head).isNotExecuted);
  head.erase("Not-Executed");
  CHECK_FALSE(DecodeBackendResponseHead(head).isNotExecuted);
  head.result(421);
  CHECK(DecodeBackendResponseHead(head).isNotExecuted);
  head.result(200);
  head.set("Replica-Seal", "s");
  head.set("Keep-Alive", "timeout=7, max=9");
  head.set("Content-Type", "text/event-stream; charset=utf-8");
  head.set("Content-Encoding", "gzip");
  head.set("Connection", "close");
  head.set("Replica-Load", "1,2,3");
  const BackendResponseHead response = DecodeBackendResponseHead(head);
  CHECK(response.hasSeal);
  CHECK(response.isEventStream);
  CHECK(response.isEncoded);
  CHECK(response.closes);
  CHECK(response.idleSeconds == 7U);
  const auto fields = FieldsForClient(head);
  CHECK(fields.count("Replica-Seal") == 1);
  CHECK(fields.count("Connection") == 0);
  CHECK(fields.count("Replica-Load") == 0);
}

TEST_CASE(
  "[Platform] a batch call names the key or the inputs of a piece, never both")
{
  PieceJob first;
  first.attempt = "a1";
  first.key = "k";
  PieceJob second;
  second.attempt = "a2";
  second.stage = 1;
  second.readsResults = true;
  second.inputs = { "10.0.0.1:1/x" };
  const std::vector<PieceCallItem> items{
    { &first, 2, std::chrono::milliseconds(900) },
    { &second, 0, std::chrono::milliseconds(-5) }
  };
  const WireRequest call = ToPieceCall("10.0.0.2:1", "i-7", items);
  CHECK(call["Expect-Replica"] == "i-7");
  CHECK(
    call.body() ==
    R"({"items":[{"id":"a1","stage":0,"piece":2,"remaining-ms":900,"key":"k"},)"
    R"({"id":"a2","stage":1,"piece":0,"remaining-ms":1,)"
    R"("inputs":["10.0.0.1:1/x"]}]})");
}

TEST_CASE("[Platform] a client's resume names the attempt and the last event")
{
  CHECK_FALSE(DecodeClientAttempt(ClientRequest()).IsResume());
  WireRequest resume = ClientRequest();
  resume.set("Last-Event-Id", "17");
  CHECK(DecodeClientAttempt(resume).IsResume());
  resume.set("Resumes", "9c40");
  const ClientAttempt attempt = DecodeClientAttempt(resume);
  CHECK(attempt.resumedAttempt == "9c40");
  CHECK(attempt.lastEvent == "17");
  const WireRequest sent = ToBackendRequest(resume, {});
  CHECK(sent["Last-Event-Id"] == "17");
}

TEST_CASE("[Platform] piece results are accepted only if they match the call")
{
  const auto results = DecodePieceResults(
    R"({"items":[{"handle":"10.0.0.1:1/a"},{"reason":"gone"},
 {"reason":"room"},{"reason":"late"},{"reason":"new"}]})",
    5);
  REQUIRE(results);
  CHECK((*results)[0].handle == "10.0.0.1:1/a");
  CHECK((*results)[1].failure == PieceFailure::InputMissing);
  CHECK((*results)[2].isOutOfMemory);
  CHECK((*results)[3].failure == PieceFailure::Late);
  CHECK((*results)[4].failure == PieceFailure::Error);
  CHECK_FALSE(DecodePieceResults(R"({"items":[]})", 1));
  CHECK_FALSE(DecodePieceResults(R"({"items":[7]})", 1));
  CHECK_FALSE(DecodePieceResults("", 1));
  CHECK(ProducerOf("10.0.0.1:1/a") == "10.0.0.1:1");
}

TEST_CASE("[Platform] results, store responses and entries that are cut off at "
          "any byte are not decoded")
{
  const std::string results =
    R"({"items":[{"handle":"10.0.0.1:1/a"},{"reason":"gone"}]})";
  const std::string list =
    R"({"items":[{"key":"op/config","value":"e30=","revision":3}],)"
    R"("more-pages":false,"store-revision":9})";
  const std::string entry = RegistryEntry();
  REQUIRE(DecodePieceResults(results, 2));
  REQUIRE(std::holds_alternative<StoreResponse>(DecodeStoreResponse(list, 0)));
  for (std::size_t cut = 0; cut < results.size(); ++cut) {
    CHECK_FALSE(DecodePieceResults(results.substr(0, cut), 2));
  }
  for (std::size_t cut = 0; cut < list.size(); ++cut) {
    CHECK(std::holds_alternative<DecodeFault>(
      DecodeStoreResponse(list.substr(0, cut), 0)));
  }
  for (std::size_t cut = 0; cut < entry.size(); ++cut) {
    CHECK(std::holds_alternative<DecodeFault>(
      DecodeBackend("i-1", entry.substr(0, cut))));
  }
  for (std::size_t cut = 0; cut < kConfiguration.size(); ++cut) {
    CHECK(std::holds_alternative<DecodeFault>(
      DecodeConfiguration(kConfiguration.substr(0, cut))));
  }
}

TEST_CASE("[Platform] odd values of any field end no reader, and numbers stay "
          "in their ranges")
{
  const std::array<std::string, 14> values{ "1e300",
                                            "-1e300",
                                            "1e999",
                                            "18446744073709551616",
                                            "-1",
                                            "99999",
                                            "null",
                                            "\"\"",
                                            "\"\xff\"",
                                            "[]",
                                            "{}",
                                            std::string(40, '[') +
                                              std::string(40, ']'),
                                            std::string(200'000, '['),
                                            "true" };
  // Each value of each field is replaced in turn.
  const auto forEachVariant = [&](const std::string& aText, auto aRead) {
    for (std::size_t colon = aText.find(':'); colon != std::string::npos;
         colon = aText.find(':', colon + 1)) {
      const std::size_t end = aText.find_first_of(",}]", colon);
      for (const std::string& value : values) {
        aRead(aText.substr(0, colon + 1) + value + aText.substr(end));
      }
    }
  };
  int usable = 0;
  forEachVariant(RegistryEntry(), [&](const std::string& aText) {
    const auto decoded = DecodeBackend("i-1", aText);
    usable += std::holds_alternative<BackendEntry>(decoded) ? 1 : 0;
  });
  forEachVariant(std::string(kConfiguration), [&](const std::string& aText) {
    const auto decoded = DecodeConfiguration(aText);
    const auto* const read = std::get_if<ServedConfiguration>(&decoded);
    if (!read) {
      return;
    }
    ++usable;
    for (const RouteSpec& route : read->routes) {
      CHECK(route.timeout >= Duration{});
      CHECK(route.timeout < std::chrono::hours(24 * 365 * 40));
    }
  });
  forEachVariant(R"({"items":[{"handle":"10.0.0.1:1/a"},{"reason":"gone"}]})",
                 [&](const std::string& aText) {
                   usable += DecodePieceResults(aText, 2) ? 1 : 0;
                 });
  forEachVariant(
    R"({"items":[{"key":"servers/i-1","value":"e30=","revision":3}],)"
    R"("more-pages":false,"store-revision":9})",
    [&](const std::string& aText) {
      const auto decoded = DecodeStoreResponse(aText, 0);
      usable += std::holds_alternative<StoreResponse>(decoded) ? 1 : 0;
    });
  CHECK(usable > 0);
}

TEST_CASE("[BackendResponseHead] only the value 1 says that a server leaves")
{
  const auto isLeaving = [](const std::vector<std::string>& aValues,
                            unsigned aStatus = 200) {
    HttpResponseHead head;
    head.result(aStatus);
    for (const std::string& value : aValues) {
      head.insert("Server-Leaving", value);
    }
    return DecodeBackendResponseHead(head).isLeaving;
  };
  CHECK(isLeaving({ "1" }));
  CHECK(isLeaving({ " 1 " }));
  CHECK(isLeaving({ "0", "1" }));
  CHECK(isLeaving({ "1" }, 503));
  CHECK(isLeaving({ "1" }, 500));
  CHECK_FALSE(isLeaving({ "1" }, 421));
  CHECK_FALSE(isLeaving({}));
  for (const char* const value :
       { "", "0", "2", "11", "-1", "1.0", "true", "1,1", "1\t2", "\xff" }) {
    CAPTURE(value);
    CHECK_FALSE(isLeaving({ value }));
  }
}

TEST_CASE("[BackendResponseHead] random values of any length do not break the "
          "decoding of a leaving server")
{
  std::mt19937_64 random(29);
  for (int round = 0; round < 20'000; ++round) {
    std::string value(random() % 24, '\0');
    std::ranges::generate(
      value, [&] { return static_cast<char>(1 + random() % 255); });
    HttpResponseHead head;
    head.insert("Server-Leaving", value);
    const bool isOne =
      value.find_first_not_of(" \t\n\v\f\r1") == std::string::npos &&
      std::ranges::count(value, '1') == 1;
    CHECK(DecodeBackendResponseHead(head).isLeaving == isOne);
  }
}

TEST_CASE("[BackendResponseHead] the rest that a 503 asks for is read as a "
          "bounded time")
{
  using Kind = RestStatement::Kind;
  const auto restOf = [](const std::vector<std::string>& aValues,
                         unsigned aStatus = 503,
                         bool aIsNotExecuted = true) {
    HttpResponseHead head;
    head.result(aStatus);
    for (const std::string& value : aValues) {
      head.insert("Retry-After", value);
    }
    if (aIsNotExecuted) {
      head.insert("Not-Executed", "1");
    }
    return DecodeBackendResponseHead(head).rest;
  };
  const auto seconds = [](double aSeconds) {
    return RestStatement{
      Kind::Rest, Duration(static_cast<std::int64_t>(aSeconds * 1'000'000))
    };
  };
  const RestStatement longest{ Kind::Rest, RestStatement::kMaxLength };
  CHECK(restOf({ "3" }) == seconds(3));
  CHECK(restOf({ " 0.25 " }) == seconds(0.25));
  CHECK(restOf({ "3" }, 503, false) == seconds(3));
  CHECK(restOf({ "1", "4" }) == seconds(4));
  CHECK(restOf({ "4, 1" }) == seconds(4));
  CHECK(restOf({ "soon", "2" }) == seconds(2));
  CHECK(restOf({ "1e9" }) == longest);
  CHECK(restOf({ "inf" }) == longest);
  CHECK(restOf({ std::string(400, '9') }).kind != Kind::None);
  for (const char* const value :
       { "", "-1", "soon", "nan", "3s", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
    CAPTURE(value);
    CHECK(restOf({ value }).kind == Kind::Unreadable);
  }
  CHECK(restOf({}) == RestStatement{});
  CHECK(restOf({ "0" }) == RestStatement{});
  CHECK(restOf({ "3" }, 200) == RestStatement{});
  CHECK(restOf({ "3" }, 429) == RestStatement{});
}

TEST_CASE("[BackendResponseHead] random values of any length ask for a rest of "
          "bounded length")
{
  std::mt19937_64 random(32);
  for (int round = 0; round < 20'000; ++round) {
    std::string value(random() % 24, '\0');
    std::ranges::generate(
      value, [&] { return "0123456789.,-+eEnaif \xff"[random() % 24]; });
    HttpResponseHead head;
    head.result(503);
    head.insert("Retry-After", value);
    const RestStatement rest = DecodeBackendResponseHead(head).rest;
    CHECK(rest.length >= Duration{});
    CHECK(rest.length <= RestStatement::kMaxLength);
  }
}

} // namespace gypsum::tests
