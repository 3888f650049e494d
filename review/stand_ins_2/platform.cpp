#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <vector>

namespace review {

namespace json = boost::json;

namespace {

/** How often a watch looks for a change. */
constexpr Milliseconds kWatchInterval{ 5 };
constexpr Milliseconds kReadTimeout{ 30'000 };
constexpr Milliseconds kReadyTimeout{ 10'000 };
constexpr Milliseconds kReadyInterval{ 100 };
constexpr long kBytesPerMegabyte = 1'048'576;

std::string Base64(std::string_view aBytes)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t byte = at; byte < at + 3; ++byte) {
      group <<= 8U;
      group |=
        byte < aBytes.size()
          ? static_cast<std::uint32_t>(static_cast<unsigned char>(aBytes[byte]))
          : 0U;
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += at + digit <= aBytes.size()
                ? kDigits[(group >> (18U - 6U * digit)) & 63U]
                : '=';
    }
  }
  return text;
}

/** The value of a parameter of a query; empty if there is none. */
std::string ParameterOf(const std::string& aTarget, const std::string& aName)
{
  const auto found = aTarget.find(aName + "=");
  if (found == std::string::npos) {
    return "";
  }
  const auto begin = found + aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

} // namespace

Record::Record(const std::string& aFolder)
  : out_(aFolder + "/record.txt", std::ios::trunc)
{
}

long Record::Elapsed() const
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::steady_clock::now() - begin_)
    .count();
}

void Record::Write(std::string_view aLine)
{
  const std::lock_guard lock(mutex_);
  out_ << Elapsed() << " ms " << aLine << std::endl;
}

Platform::Platform(Record& aRecord, unsigned aGateways)
  : record_(aRecord)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "gypsum-case-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  store_ = std::make_unique<Server>(
    [this](Socket& aConnection) { ServeStore(aConnection); });
  const std::list<int> ports = FindFreePorts(5);
  auto port = ports.begin();
  clientPort_ = *port++;
  readyPort_ = *port++;
  controlPort_ = *port++;
  metricsPort_ = *port++;
  peerPort_ = *port;
  for (unsigned host = 1; host <= aGateways; ++host) {
    gateways_[host] = -1;
  }
}

Platform::~Platform()
{
  IsOver() = true;
  for (const auto& [host, process] : gateways_) {
    KillGateway(host);
  }
  store_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Platform::Put(const std::string& aKey, const json::object& aValue)
{
  const std::lock_guard lock(mutex_);
  items_[aKey] = { json::serialize(aValue), ++revision_ };
}

void Platform::Register(const std::string& aId,
                        const std::string& aService,
                        const std::string& aAddress,
                        int aSlots)
{
  const auto now = std::chrono::duration_cast<Milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  Put("servers/" + aId,
      { { "service", aService },
        { "address", aAddress },
        { "zone", "zone-a" },
        { "version", "v1" },
        { "slots", aSlots },
        { "state", "ready" },
        { "cold-left-ms", 0 },
        { "seq", 4 },
        { "born", now.count() - 60'000 } });
}

json::array Platform::ItemsSince(const std::string& aPrefix, int aRevision)
{
  const std::lock_guard lock(mutex_);
  json::array list;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(aPrefix) && item.revision > aRevision) {
      list.push_back(json::object{ { "key", key },
                                   { "value", Base64(item.value) },
                                   { "revision", item.revision },
                                   { "created-rev", item.revision },
                                   { "lease", 0 } });
    }
  }
  return list;
}

std::string Platform::Respond(const std::string& aTarget)
{
  const std::string prefix = ParameterOf(aTarget, "prefix");
  json::object body;
  if (aTarget.starts_with("/gypsumstream/kv-watch")) {
    const int after = std::atoi(ParameterOf(aTarget, "after").c_str());
    const Milliseconds wait(std::atoi(ParameterOf(aTarget, "wait-ms").c_str()));
    json::array events = ItemsSince(prefix, after);
    for (Milliseconds waited{ 0 }; events.empty() && waited < wait;
         waited += kWatchInterval) {
      std::this_thread::sleep_for(kWatchInterval);
      events = ItemsSince(prefix, after);
    }
    body["events"] = std::move(events);
  } else {
    body["items"] = ItemsSince(prefix, 0);
    body["more-pages"] = false;
  }
  const std::lock_guard lock(mutex_);
  body["store-revision"] = revision_;
  return json::serialize(body);
}

void Platform::ServeStore(Socket& aConnection)
{
  while (const auto call = aConnection.ReadRequest(kReadTimeout)) {
    const std::string response =
      ResponseOf("200 OK",
                 "Content-Type: application/json\r\nStore-Era: 1\r\n",
                 Respond(call->Target()));
    if (IsOver() || !aConnection.Send(response)) {
      return;
    }
  }
}

std::string Platform::SettingsOf(unsigned aHost) const
{
  const std::string ip = "127.0.0." + std::to_string(aHost);
  // As platform/gateway.ini.template is filled in.
  std::ostringstream settings;
  settings << "[gateway]\nname = front-zone-a-" << aHost
           << "\nzone = zone-a\ngrace_s = 8\nprocessor_share = 0.19\n"
           << "\n[network]\nclients = " << ip << ":" << clientPort_
           << "\nready = " << ip << ":" << readyPort_ << "\ncontrol = " << ip
           << ":" << controlPort_ << "\nmetrics = " << ip << ":" << metricsPort_
           << "\nstore = " << store_->Address() << "\npeer_port = " << peerPort_
           << "\nseeds = 127.0.0.1:" << controlPort_
           << "\n\n[repeats]\nratio = 0.2\nextra = 54\nwindow_s = 10\n"
           << "\n[log]\nlevel = info\nlines_per_s = 200\n";
  return settings.str();
}

void Platform::StartGateway(unsigned aHost)
{
  const std::string name = folder_ + "/node-" + std::to_string(aHost);
  const std::string log = name + ".log";
  std::ofstream(name + ".ini") << SettingsOf(aHost);
  std::string program = "target/gypsumstream";
  std::string role = "gateway";
  std::array<char*, 3> arguments{ program.data(), role.data(), nullptr };
  std::string path = std::string("PATH=") + std::getenv("PATH");
  std::string boot = "GYPSUMSTREAM_BOOT=" + name + ".ini";
  std::array<char*, 3> environment{ path.data(), boot.data(), nullptr };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t process = -1;
  const int error = posix_spawn(&process,
                                program.c_str(),
                                &actions,
                                nullptr,
                                arguments.data(),
                                environment.data());
  posix_spawn_file_actions_destroy(&actions);
  gateways_[aHost] = error == 0 ? process : -1;
  record_.Write("gateway " + std::to_string(aHost) + " started");
}

bool Platform::Start()
{
  for (const auto& [host, process] : gateways_) {
    StartGateway(host);
  }
  return std::ranges::all_of(gateways_, [this](const auto& aGateway) {
    return WaitUntilReady(aGateway.first);
  });
}

bool Platform::IsReady(unsigned aHost) const
{
  auto connection = Socket::Connect(readyPort_, aHost);
  if (!connection || !connection->Send("GET /gypsumstream/readyz HTTP/1.1\r\n"
                                       "Host: gateway\r\n\r\n")) {
    return false;
  }
  const auto response = connection->Read(Milliseconds(1'000));
  return response && response->Status() == 200;
}

bool Platform::WaitUntilReady(unsigned aHost)
{
  const std::string name = "gateway " + std::to_string(aHost);
  for (Milliseconds waited{ 0 }; waited < kReadyTimeout;
       waited += kReadyInterval) {
    if (IsReady(aHost)) {
      record_.Write(name + " ready");
      return true;
    }
    std::this_thread::sleep_for(kReadyInterval);
  }
  record_.Write(name + " not ready; its log:");
  std::ifstream log(folder_ + "/node-" + std::to_string(aHost) + ".log");
  for (std::string line; std::getline(log, line);) {
    record_.Write(line);
  }
  return false;
}

void Platform::KillGateway(unsigned aHost)
{
  pid_t& process = gateways_.at(aHost);
  if (process > 0) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = -1;
  }
}

void Platform::Signal(unsigned aHost, int aSignal) const
{
  if (gateways_.at(aHost) > 0) {
    kill(gateways_.at(aHost), aSignal);
  }
}

bool Platform::IsRunning(unsigned aHost)
{
  pid_t& process = gateways_.at(aHost);
  if (process > 0 && waitpid(process, nullptr, WNOHANG) == process) {
    process = -1;
  }
  return process > 0;
}

long Platform::ResidentMegabytes(unsigned aHost) const
{
  std::ifstream statm("/proc/" + std::to_string(gateways_.at(aHost)) +
                      "/statm");
  long size = 0;
  long resident = 0;
  statm >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE) / kBytesPerMegabyte;
}

std::string ResponseOf(std::string_view aStatus,
                       std::string_view aFields,
                       std::string_view aBody)
{
  std::ostringstream response;
  response << "HTTP/1.1 " << aStatus << "\r\n"
           << aFields << "Content-Length: " << aBody.size() << "\r\n\r\n"
           << aBody;
  return response.str();
}

std::string RequestHeadOf(std::string_view aTarget,
                          std::string_view aAttempt,
                          Milliseconds aDeadline,
                          std::string_view aFields,
                          std::size_t aBodyBytes)
{
  std::ostringstream head;
  head << "POST " << aTarget << " HTTP/1.1\r\nHost: app.example\r\n"
       << "Attempt-Id: " << aAttempt << "\r\nDeadline-Ms: " << aDeadline.count()
       << "\r\nCredential: " << kKey << "\r\n"
       << aFields << "Content-Length: " << aBodyBytes << "\r\n\r\n";
  return head.str();
}

std::string RequestOf(std::string_view aTarget,
                      std::string_view aAttempt,
                      Milliseconds aDeadline,
                      std::string_view aFields,
                      std::string_view aBody)
{
  std::string request =
    RequestHeadOf(aTarget, aAttempt, aDeadline, aFields, aBody.size());
  return request.append(aBody);
}

std::optional<std::string> ReportFor(const Message& aRequest)
{
  if (aRequest.Target() != "/gypsumstream/report") {
    return std::nullopt;
  }
  return ResponseOf("200 OK",
                    "Content-Type: application/json\r\n",
                    R"({"queued":0,"busy":false,"free-mb":40})");
}

std::string FieldsOfRun(std::string_view aAttempt)
{
  std::ostringstream fields;
  fields << "Attempt-Id: " << aAttempt << "\r\nReplica-Seal: seal." << aAttempt
         << "\r\n";
  return fields.str();
}

bool HasTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

std::string FolderOf(int aCount, char** aArguments)
{
  return aCount > 1 ? aArguments[1] : ".";
}

void AddCommon(json::object& aConfiguration)
{
  aConfiguration["version"] = 7;
  aConfiguration["limits"] = json::object{ { "max-header-bytes", 16'384 },
                                           { "max-body-bytes", 4'194'304 },
                                           { "header-timeout-ms", 3'000 },
                                           { "idle-timeout-ms", 15'000 } };
  aConfiguration["tenants"] =
    json::array{ json::object{ { "name", "tenant-1" },
                               { "api-keys", json::array{ kKey } },
                               { "priority", 1 } } };
}

} // namespace review
