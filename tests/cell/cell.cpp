#include "tests/cell/cell.h"

#include "tests/support/wait.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <utility>

namespace gypsum::tests {

namespace json = boost::json;

namespace {

constexpr int kClientPort = 18'625;
constexpr int kReadyPort = 18'621;
constexpr int kControlPort = 18'628;
constexpr int kMetricsPort = 18'464;
constexpr int kPeerPort = 18'740;
constexpr int kLonePeerPort = 18'741;
constexpr int kReplicaPort = 18'800;
constexpr int kStorePort = 18'624;
constexpr int kFirstDoorPort = 19'000;
/** Low enough that lists of a small cell span several pages. */
constexpr std::size_t kItemsPerPage = 5;

std::string WithPort(const std::string& aAddress, int aPort)
{
  return aAddress + ":" + std::to_string(aPort);
}

json::object Route(const std::string& aPrefix,
                   const std::string& aKind,
                   const std::string& aService,
                   int aTimeoutMs,
                   int aMaxAttempts)
{
  return { { "name", "r" + aPrefix },    { "host", "cell.example" },
           { "prefix", aPrefix },        { "kind", aKind },
           { "timeout-ms", aTimeoutMs }, { "priority", 1 },
           { "service", aService },      { "max-attempts", aMaxAttempts },
           { "gap-target-ms", 200 },     { "public", false } };
}

json::object Service(const std::string& aName)
{
  return { { "name", aName }, { "max-conns", 100 } };
}

} // namespace

Cell::Cell(CellSize aSize, std::uint64_t aSeed)
  : seed_(aSeed)
  , graceSeconds_(aSize.graceSeconds)
  // Test processes that run at the same time must not share addresses.
  , networkPrefix_("127." + std::to_string(64 + getpid() % 128) + "." +
                   std::to_string(getpid() / 128 % 250) + ".")
  , folder_(
      std::filesystem::temp_directory_path() /
      ("gypsum-cell-" + std::to_string(getpid()) + "-" + std::to_string(aSeed)))
{
  std::filesystem::create_directories(folder_);
  loop_.Run([&] {
    store_ = std::make_unique<CellStore>(
      loop_, WithPort(networkPrefix_ + "1", kStorePort));
    store_->SetPageSize({ .items = kItemsPerPage });
    AddReplicas(
      CellReplica::Kind::Model, "model", aSize.modelReplicas, modelReplicas_);
    AddReplicas(
      CellReplica::Kind::Plain, "plain", aSize.plainServers, plainServers_);
    AddReplicas(
      CellReplica::Kind::Stage, "cards", aSize.stageServers, stageServers_);
  });
  for (int index = 0; index < aSize.gateways; ++index) {
    CellGateway gateway;
    gateway.hostAddress = networkPrefix_ + std::to_string(100 + index);
    gateway.clientAddress = WithPort(gateway.hostAddress, kClientPort);
    gateway.readyAddress = WithPort(gateway.hostAddress, kReadyPort);
    gateway.metricsAddress = WithPort(gateway.hostAddress, kMetricsPort);
    gateway.controlAddress = WithPort(gateway.hostAddress, kControlPort);
    gateway.peerAddress = WithPort(gateway.hostAddress, kPeerPort);
    gateway.storeAddress =
      WithPort(networkPrefix_ + "1", kFirstDoorPort + index);
    gateway.storeDoor = static_cast<std::size_t>(index) + 1;
    loop_.Run([&] { store_->AddDoor(gateway.storeAddress); });
    const std::string name = "gateway-" + std::to_string(index);
    gateway.settingsFile = folder_ / (name + ".ini");
    gateway.logFile = folder_ / (name + ".log");
    gateways_.push_back(std::move(gateway));
  }
  std::ranges::for_each(gateways_, [&](const CellGateway& aGateway) {
    WriteSettings(aGateway, kPeerPort, gateways_.front().hostAddress);
  });
  Publish();
}

Cell::~Cell()
{
  gateways_.clear();
  loop_.Stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Cell::AddReplicas(CellReplica::Kind aKind,
                       const std::string& aService,
                       int aCount,
                       std::vector<std::unique_ptr<CellReplica>>& aTo)
{
  const int first = 10 + 20 * static_cast<int>(aKind);
  for (int index = 0; index < aCount; ++index) {
    aTo.push_back(std::make_unique<CellReplica>(
      loop_,
      *store_,
      executions_,
      processes_,
      aKind,
      aService + "-" + std::to_string(index),
      aService,
      WithPort(networkPrefix_ + std::to_string(first + index), kReplicaPort),
      seed_ * 100 + static_cast<std::uint64_t>(first + index)));
    aTo.back()->Register();
  }
}

std::vector<CellReplica*> Cell::Replicas()
{
  std::vector<CellReplica*> all;
  for (auto* const group :
       { &modelReplicas_, &plainServers_, &stageServers_ }) {
    std::ranges::transform(*group,
                           std::back_inserter(all),
                           [](const auto& aItem) { return aItem.get(); });
  }
  return all;
}

void Cell::Isolate(const CellGateway& aGateway) const
{
  WriteSettings(aGateway, kLonePeerPort, aGateway.hostAddress);
}

void Cell::WriteSettings(const CellGateway& aGateway,
                         int aPeerPort,
                         const std::string& aSeedHost) const
{
  std::ofstream out(aGateway.settingsFile);
  out << "[gateway]\nname = "
      << std::filesystem::path(aGateway.settingsFile).stem().string()
      << "\nzone = z\ngrace_s = " << graceSeconds_
      << "\nprocessor_share = 0.5\n"
      << "[network]\nclients = " << aGateway.clientAddress
      << "\nready = " << aGateway.readyAddress
      << "\ncontrol = " << aGateway.controlAddress
      << "\nmetrics = " << aGateway.metricsAddress
      << "\nstore = " << aGateway.storeAddress << "\npeer_port = " << aPeerPort
      << "\nseeds = " << WithPort(aSeedHost, kControlPort)
      << "\n[repeats]\nratio = 0.2\nextra = 40\nwindow_s = 10\n"
      << "[log]\nlevel = info\nlines_per_s = 1000\n";
}

void Cell::Publish()
{
  ++configuration.version;
  json::array routes;
  const int timeout = configuration.timeoutMs;
  routes.push_back(Route("/read/", "idempotent", "plain", timeout, 2));
  routes.push_back(Route("/once/",
                         "non_idempotent",
                         configuration.nonIdempotentService,
                         timeout,
                         1));
  routes.push_back(Route("/chat/", "streaming", "model", 2 * timeout, 1));
  json::object resumed = Route("/long/", "streaming", "model", 2 * timeout, 2);
  resumed["resumable"] = true;
  routes.push_back(resumed);
  json::object staged = Route("/staged/", "streaming", "model", 2 * timeout, 1);
  staged["stages"] = json::array{ json::object{ { "service", "cards" },
                                                { "after", json::array{} },
                                                { "bytes", 3'000'000 } },
                                  json::object{ { "service", "cards" },
                                                { "after", json::array{ 0 } },
                                                { "bytes", 8'000 } } };
  routes.push_back(staged);
  if (configuration.hasLateRoute) {
    routes.push_back(Route("/late/", "idempotent", "plain", timeout, 2));
  }
  for (const std::string& prefix : configuration.extraRoutes) {
    routes.push_back(Route(prefix, "idempotent", "plain", timeout, 2));
  }
  for (json::value& route : routes) {
    route.as_object()["target-latency-ms"] = configuration.targetMs;
  }
  json::object cards = Service("cards");
  cards["pieces"] = json::object{ { "slots", 1 },     { "queue", 2 },
                                  { "batch", 8 },     { "call-ms", 30.0 },
                                  { "item-ms", 1.0 }, { "headroom-mb", 90.0 },
                                  { "handle-s", 4.0 } };
  json::object model = Service("model");
  model["engine"] =
    json::object{ { "slots", 64 },
                  { "kv-capacity-tokens", configuration.kvCapacityTokens } };
  model["cold-start-s"] = 3.0;
  model["cold-per-s"] = configuration.coldPerSecond;
  json::array keys;
  std::ranges::for_each(configuration.apiKeys, [&](const std::string& aKey) {
    keys.push_back(
      json::object{ { "name", "customer-" + aKey },
                    { "api-keys", json::array{ json::value(aKey) } },
                    { "priority", 1 } });
  });
  const json::object manifest{
    { "version", configuration.version },
    { "routes", routes },
    { "services", json::array{ cards, model, Service("plain") } },
    { "limits",
      json::object{ { "max-header-bytes", 16'384 },
                    { "max-body-bytes", 4'194'304 },
                    { "header-timeout-ms", 1'000 },
                    { "idle-timeout-ms", 10'000 } } },
    { "tenants", keys }
  };
  const std::string text = json::serialize(manifest);
  loop_.Run([&] { store_->Put("op/config", text); });
}

void Cell::StartGateway(CellGateway& aGateway)
{
  aGateway.process = std::make_unique<ChildProcess>(
    GYPSUM_BINARY,
    std::vector<std::string>{ "gateway", aGateway.settingsFile },
    aGateway.logFile);
  processes_.Add(aGateway.process->Id());
}

bool Cell::Start()
{
  std::ranges::for_each(gateways_,
                        [&](CellGateway& aGateway) { StartGateway(aGateway); });
  return std::ranges::all_of(gateways_, [&](const CellGateway& aGateway) {
    return WaitUntilReady(aGateway);
  });
}

bool Cell::IsReady(const CellGateway& aGateway) const
{
  CellRequest probe;
  probe.method = "GET";
  probe.path = "/gypsumstream/readyz";
  probe.deadline = std::chrono::milliseconds(500);
  return CellClient(aGateway.readyAddress).Send(probe).status == 200;
}

bool Cell::WaitUntilReady(const CellGateway& aGateway) const
{
  return WaitUntil([&] { return IsReady(aGateway); });
}

std::string Cell::Get(const CellGateway& aGateway,
                      const std::string& aPath) const
{
  CellRequest probe;
  probe.method = "GET";
  probe.path = aPath;
  return CellClient(aGateway.metricsAddress).Send(probe).body;
}

std::string Cell::NextAttemptId()
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx%08llx",
                static_cast<unsigned long long>(seed_),
                static_cast<unsigned long long>(++lastAttemptNumber_));
  return text.data();
}

CellRequest Cell::MakePlainRequest(const std::string& aPath)
{
  CellRequest request;
  request.method = aPath.starts_with("/read/") ? "GET" : "POST";
  request.path = aPath;
  request.attemptId = NextAttemptId();
  request.apiKey = configuration.apiKeys.front();
  return request;
}

CellRequest Cell::MakeStreamRequest(const std::string& aPath)
{
  CellRequest request = MakePlainRequest(aPath);
  request.method = "POST";
  request.prompt = "5c1e07a2:60," + request.attemptId + ":40";
  request.deadline = std::chrono::milliseconds(4'000);
  return request;
}

CellRequest Cell::MakeStagedRequest()
{
  CellRequest request = MakeStreamRequest("/staged/x");
  request.pieces = "2,3";
  return request;
}

std::vector<CellExecution> Cell::ExecutionsOf(const std::string& aAttemptId)
{
  return loop_.Run([&] {
    std::vector<CellExecution> executions;
    std::ranges::copy_if(executions_,
                         std::back_inserter(executions),
                         [&](const CellExecution& aExecution) {
                           return aExecution.attemptId == aAttemptId;
                         });
    return executions;
  });
}

} // namespace gypsum::tests
