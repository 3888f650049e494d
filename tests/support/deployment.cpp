#include "tests/support/deployment.h"

#include "tests/support/free_port.h"
#include "tests/support/wait.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace gypsum::tests {

namespace {

constexpr std::chrono::seconds kCallTimeout{ 60 };
constexpr unsigned kOk = 200;

std::filesystem::path MakeFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "gypsum-XXXXXX").string();
  if (!mkdtemp(pattern.data())) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return pattern;
}

std::string HeaderOf(const HttpReply& aReply, std::string_view aName)
{
  HttpRequest lookup;
  lookup.headers = aReply.headers;
  return std::string(lookup.Header(aName));
}

/** Peer address of an agent in the manifest: its relay, if there is one. */
const std::string& AddressForPeers(const ReplicaHost& aHost)
{
  return aHost.peerRelay.process ? aHost.peerRelay.listenAddress
                                 : aHost.peerAddress;
}

constexpr std::string_view kPipelines = R"(
[pipeline.answer]
deadline_ms = 4000
priority = 1
stages = encode generate
[stage.answer.encode]
service = writer
operation = /encode
[stage.answer.generate]
service = writer
operation = /generate
[pipeline.hold]
deadline_ms = 4000
priority = 0
stages = draft confirm
[stage.hold.draft]
service = writer
operation = /draft
[stage.hold.confirm]
service = booking
operation = /confirm
repeatable = false
[pipeline.book]
deadline_ms = 4000
priority = 0
stages = confirm
[stage.book.confirm]
service = booking
operation = /confirm
repeatable = false
)";

} // namespace

Deployment::Deployment(std::string aExtraAgentSettings)
  : folder_(MakeFolder())
  , extraAgentSettings_(std::move(aExtraAgentSettings))
  , platformAddress_(FreeAddress())
{
  AddReplica("writer", "writer-1");
  AddReplica("writer", "writer-2");
  AddReplica("booking", "booking-1");
  AddReplica("booking", "booking-2");
  AddEntry("entry-1");
  AddEntry("entry-2");
}

Deployment::~Deployment()
{
  entries_.clear();
  replicas_.clear();
  platform_.reset();
  std::error_code ignored;
  if (std::getenv("GYPSUM_KEEP_LOGS")) {
    std::cerr << "logs kept in " << folder_ << "\n";
    return;
  }
  std::filesystem::remove_all(folder_, ignored);
}

void Deployment::AddReplica(const std::string& aService,
                            const std::string& aName)
{
  auto host = std::make_unique<ReplicaHost>();
  host->name = aName;
  host->service = aService;
  host->zone = "zone-a";
  host->peerAddress = FreeAddress();
  host->httpAddress = FreeAddress();
  host->backendAddress = FreeAddress();
  replicas_.push_back(std::move(host));
}

void Deployment::AddEntry(const std::string& aName)
{
  auto host = std::make_unique<EntryHost>();
  host->name = aName;
  host->peerAddress = FreeAddress();
  host->httpAddress = FreeAddress();
  entries_.push_back(std::move(host));
}

std::string Deployment::WriteSettings(const std::string& aName,
                                      const std::string& aText)
{
  std::string path = (folder_ / (aName + ".ini")).string();
  std::ofstream(path) << aText;
  return path;
}

void Deployment::StartPlatform()
{
  platform_ = std::make_unique<ChildProcess>(
    GYPSUM_FAKES,
    std::vector<std::string>{ "platform", platformAddress_ },
    (folder_ / "platform.log").string());
}

void Deployment::StartBackend(ReplicaHost& aHost)
{
  aHost.backend = std::make_unique<ChildProcess>(
    GYPSUM_FAKES,
    std::vector<std::string>{ "backend", aHost.backendAddress },
    (folder_ / (aHost.name + ".backend.log")).string());
}

void Deployment::StartAgent(ReplicaHost& aHost)
{
  const std::string path = WriteSettings(
    aHost.name,
    "[process]\nrole = agent\nname = " + aHost.name + "\nzone = " + aHost.zone +
      "\n[network]\nhttp = " + aHost.httpAddress +
      "\npeer = " + AddressForPeers(aHost) +
      "\npeer_bind = " + aHost.peerAddress + "\nbackend = " +
      (aHost.backendRelay.process ? aHost.backendRelay.listenAddress
                                  : aHost.backendAddress) +
      "\nplatform = " + platformAddress_ + SeedsLine() +
      "\n[log]\nlevel = " + logLevel_ + "\n" + extraAgentSettings_);
  aHost.agent =
    std::make_unique<ChildProcess>(GYPSUM_BINARY,
                                   std::vector<std::string>{ "agent", path },
                                   (folder_ / (aHost.name + ".log")).string());
}

void Deployment::StartEntry(EntryHost& aHost)
{
  const std::string path = WriteSettings(
    aHost.name,
    "[process]\nrole = entry\nname = " + aHost.name +
      "\nzone = zone-a\n[network]\nhttp = " + aHost.httpAddress +
      "\npeer = " + aHost.peerAddress + "\nplatform = " + platformAddress_ +
      SeedsLine() + "\n[log]\nlevel = " + logLevel_ + "\n");
  aHost.process =
    std::make_unique<ChildProcess>(GYPSUM_BINARY,
                                   std::vector<std::string>{ "entry", path },
                                   (folder_ / (aHost.name + ".log")).string());
}

void Deployment::StartAll()
{
  StartPlatform();
  for (const auto& replica : replicas_) {
    StartBackend(*replica);
    StartAgent(*replica);
  }
  for (const auto& entry : entries_) {
    StartEntry(*entry);
  }
  if (!WaitUntil(
        [&] { return Get(platformAddress_, "/control/calls") != ""; })) {
    throw std::runtime_error("the platform did not respond in time");
  }
  Publish(1);
  const bool isReady = WaitUntil([&] {
    return std::ranges::all_of(
      entries_, [&](const auto& aEntry) { return IsEveryMemberLive(*aEntry); });
  });
  if (!isReady) {
    throw std::runtime_error("not every member became live in time");
  }
}

std::string Deployment::LogOf(const std::string& aName) const
{
  std::ostringstream text;
  text << std::ifstream(folder_ / (aName + ".log")).rdbuf();
  return text.str();
}

ReplicaHost& Deployment::Replica(const std::string& aName)
{
  const auto found = std::ranges::find_if(
    replicas_, [&](const auto& aHost) { return aHost->name == aName; });
  if (found == replicas_.end()) {
    throw std::runtime_error("no replica named " + aName);
  }
  return **found;
}

std::string Deployment::ManifestText(std::uint64_t aRevision) const
{
  std::ostringstream text;
  text << "[manifest]\nname = test\nrevision = " << aRevision
       << "\n[zones]\nzone-a = home\n[customers]\natelier = 2\ncercle = 1\n";
  for (const auto& [service, kind] : std::array{
         std::pair("writer", "engine"), std::pair("booking", "plain") }) {
    text << "[service." << service << "]\nkind = " << kind
         << "\nconcurrency = 4\n[replicas." << service << "]\n";
    for (const auto& replica : replicas_) {
      if (replica->service == service) {
        text << replica->name << " = " << replica->zone << " "
             << AddressForPeers(*replica) << "\n";
      }
    }
  }
  text << kPipelines;
  return text.str();
}

std::string Deployment::SeedsLine() const
{
  if (!usesSeeds_) {
    return {};
  }
  std::string line = "\nseeds =";
  for (const auto& replica : replicas_) {
    line += " " + replica->peerAddress;
  }
  return line;
}

void Deployment::Publish(std::uint64_t aRevision)
{
  PublishManifestText(aRevision, ManifestText(aRevision));
}

void Deployment::PublishManifestText(std::uint64_t aRevision,
                                     const std::string& aText)
{
  HttpClient client(platformAddress_);
  HttpRequest request{ "POST", "/control/publish", {}, {}, {} };
  request.query = "revision=" + std::to_string(aRevision);
  request.body = aText;
  const auto result = client.Call(request, ConnectionUse::Fresh, kCallTimeout);
  if (!result.reply || result.reply->status != kOk) {
    throw std::runtime_error("the platform did not accept the manifest: " +
                             result.failure);
  }
}

CallerResponse Deployment::Post(const EntryHost& aEntry,
                                const std::string& aPipeline,
                                const std::string& aKey,
                                const std::string& aBody,
                                const std::string& aDeadlineMs) const
{
  HttpClient client(aEntry.httpAddress);
  HttpRequest request{ "POST", "/v1/pipelines/" + aPipeline, {}, {}, aBody };
  request.headers = { { "Gypsum-Customer", "atelier" } };
  if (!aKey.empty()) {
    request.headers.emplace_back("Idempotency-Key", aKey);
  }
  if (!aDeadlineMs.empty()) {
    request.headers.emplace_back("Gypsum-Deadline-Ms", aDeadlineMs);
  }
  const auto result = client.Call(request, ConnectionUse::Fresh, kCallTimeout);
  if (!result.reply) {
    return {};
  }
  return { result.reply->status,
           HeaderOf(*result.reply, "Gypsum-Outcome"),
           HeaderOf(*result.reply, "Gypsum-Error"),
           HeaderOf(*result.reply, "Retry-After"),
           result.reply->body };
}

std::string Deployment::Get(const std::string& aAddress,
                            const std::string& aPathAndQuery) const
{
  HttpClient client(aAddress);
  const std::size_t mark = aPathAndQuery.find('?');
  HttpRequest request{ "GET", aPathAndQuery.substr(0, mark), {}, {}, {} };
  if (mark != std::string::npos) {
    request.query = aPathAndQuery.substr(mark + 1);
  }
  const auto result = client.Call(request, ConnectionUse::Fresh, kCallTimeout);
  return result.reply && result.reply->status == kOk ? result.reply->body : "";
}

bool Deployment::IsEveryMemberLive(const EntryHost& aEntry) const
{
  const std::string dump = Get(aEntry.httpAddress, "/dump?format=json");
  if (dump.empty()) {
    return false;
  }
  const boost::json::value state = boost::json::parse(dump);
  const auto& members =
    state.as_object().at("entry").as_object().at("members").as_object();
  return members.size() == replicas_.size() &&
         std::ranges::all_of(members, [](const auto& aMember) {
           return aMember.value().as_object().at("state").as_string() == "live";
         });
}

std::uint64_t Deployment::RevisionOf(const EntryHost& aEntry) const
{
  const std::string dump = Get(aEntry.httpAddress, "/dump?format=json");
  if (dump.empty()) {
    return 0;
  }
  const boost::json::value state = boost::json::parse(dump);
  return state.at("entry").at("revision").to_number<std::uint64_t>();
}

} // namespace gypsum::tests
