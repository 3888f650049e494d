#include "review/stand_ins/world.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds kHeartbeat{ 1'200 };
/** Well above the time for which a store's connection may rest. */
constexpr Milliseconds kIdleTime{ 20'000 };
constexpr Milliseconds kStartTime{ 20'000 };

std::string QueryValue(const std::string& aTarget, const std::string& aName)
{
  const std::size_t query = aTarget.find('?');
  std::size_t at = aTarget.find(aName + "=", query);
  while (at != std::string::npos && aTarget[at - 1] != '?' &&
         aTarget[at - 1] != '&') {
    at = aTarget.find(aName + "=", at + 1);
  }
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

Record::Record(const std::string& aPath)
  : out_(aPath, std::ios::trunc)
{
}

Milliseconds Record::Now() const
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - begin_);
}

void Record::Write(const std::string& aLine)
{
  const Milliseconds now = Now();
  std::array<char, 32> time{};
  std::snprintf(time.data(),
                time.size(),
                "%9.3f ",
                static_cast<double>(now.count()) / 1'000.0);
  const std::lock_guard lock(mutex_);
  out_ << time.data() << aLine << "\n" << std::flush;
}

Server::Server(const std::string& aHost, int aPort, Session aSession)
  : listener_(Listen(aHost, aPort))
  , session_(std::move(aSession))
{
  if (listener_ < 0) {
    std::fprintf(stderr, "cannot listen on %s:%d\n", aHost.c_str(), aPort);
    std::exit(2); // NOLINT(concurrency-mt-unsafe)
  }
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server()
{
  isStopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : open_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  std::ranges::for_each(sessions_, &std::thread::join);
}

void Server::Accept()
{
  while (!isStopping_) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const std::lock_guard lock(mutex_);
    open_.insert(accepted);
    sessions_.emplace_back([this, accepted] {
      Connection connection(accepted);
      session_(connection);
      const std::lock_guard inner(mutex_);
      open_.erase(accepted);
    });
  }
}

Store::Store(const std::string& aHost, int aPort)
  : host_(aHost)
  , port_(aPort)
{
  Open();
}

void Store::Open()
{
  server_ = std::make_unique<Server>(
    host_, port_, [this](Connection& aConnection) { Serve(aConnection); });
}

std::uint64_t Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  Item& item = content_.items[aKey];
  const std::uint64_t revision = ++content_.revision;
  item = { aKey,
           EncodeBase64(aValue),
           revision,
           item.created == 0 ? revision : item.created };
  content_.history.push_back(item);
  changed_.notify_all();
  return revision;
}

void Store::Refresh(const std::string& aKey, const std::string& aValue)
{
  {
    const std::lock_guard lock(mutex_);
    const auto found = content_.items.find(aKey);
    if (isAway_ || found != content_.items.end()) {
      if (!isAway_) {
        found->second.value = EncodeBase64(aValue);
      }
      return;
    }
  }
  Put(aKey, aValue);
}

void Store::Copy()
{
  const std::lock_guard lock(mutex_);
  copy_ = content_;
}

void Store::GoAway()
{
  {
    const std::lock_guard lock(mutex_);
    isAway_ = true;
    changed_.notify_all();
  }
  server_.reset();
}

void Store::ComeBackFromCopy()
{
  {
    const std::lock_guard lock(mutex_);
    content_ = copy_;
    ++era_;
    isAway_ = false;
  }
  Open();
}

std::string Store::List(const std::string& aPrefix, const std::string& aAfter)
{
  const std::lock_guard lock(mutex_);
  json::array items;
  for (const auto& [key, item] : content_.items) {
    if (key.starts_with(aPrefix) && key > aAfter) {
      items.push_back(json::object{ { "key", item.key },
                                    { "value", item.value },
                                    { "revision", item.revision },
                                    { "created-rev", item.created },
                                    { "lease", 0 } });
    }
  }
  return json::serialize(
    json::object{ { "items", items },
                  { "more-pages", false },
                  { "store-revision", content_.revision } });
}

std::string Store::Watch(const std::string& aPrefix,
                         std::uint64_t aAfter,
                         Milliseconds aWait)
{
  json::array events;
  std::unique_lock lock(mutex_);
  if (aAfter > content_.revision) {
    return "";
  }
  changed_.wait_for(lock, aWait, [&] {
    for (const Item& item : content_.history) {
      if (item.revision > aAfter && item.key.starts_with(aPrefix)) {
        events.push_back(json::object{ { "key", item.key },
                                       { "value", item.value },
                                       { "revision", item.revision },
                                       { "created-rev", item.created },
                                       { "lease", 0 } });
      }
    }
    return isAway_ || !events.empty();
  });
  return json::serialize(json::object{
    { "events", events }, { "store-revision", content_.revision } });
}

void Store::Serve(Connection& aConnection)
{
  Message call;
  while (aConnection.Read(call, Clock::now() + kIdleTime) ==
         ReadEnd::Complete) {
    const std::string target = call.Target();
    const std::string prefix = QueryValue(target, "prefix");
    std::string status = "HTTP/1.1 200 OK";
    std::string body;
    if (target.starts_with("/gypsumstream/kv-range")) {
      body = List(prefix, QueryValue(target, "after"));
    } else if (target.starts_with("/gypsumstream/kv-watch")) {
      const std::string after = QueryValue(target, "after");
      const std::string wait = QueryValue(target, "wait-ms");
      body = Watch(prefix,
                   std::strtoull(after.c_str(), nullptr, 10),
                   Milliseconds(std::strtoll(wait.c_str(), nullptr, 10)));
      status = body.empty() ? "HTTP/1.1 410 Gone" : status;
    } else {
      status = "HTTP/1.1 404 Not Found";
    }
    std::string era;
    {
      const std::lock_guard lock(mutex_);
      if (isAway_) {
        return;
      }
      era = std::to_string(era_);
    }
    if (!aConnection.Write(Format(
          status,
          { { "Content-Type", "application/json" }, { "Store-Era", era } },
          body))) {
      return;
    }
  }
}

void Runs::OnBegin(const std::string& aAttempt, Run aRun)
{
  const std::lock_guard lock(mutex_);
  runs_[aAttempt].push_back(std::move(aRun));
}

void Runs::OnEnd(const std::string& aAttempt,
                 Milliseconds aAt,
                 bool aIsComplete)
{
  const std::lock_guard lock(mutex_);
  Run& run = runs_[aAttempt].back();
  run.end = aAt;
  run.isComplete = aIsComplete;
}

std::vector<Run> Runs::Of(const std::string& aAttempt)
{
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(aAttempt);
  return found == runs_.end() ? std::vector<Run>{} : found->second;
}

std::size_t Runs::Count()
{
  const std::lock_guard lock(mutex_);
  return runs_.size();
}

Gateway::Gateway(std::string aName, std::string aHost)
  : name_(std::move(aName))
  , host_(std::move(aHost))
{
}

Gateway::~Gateway()
{
  if (process_ > 0) {
    kill(process_, SIGKILL);
    WaitForEnd(Milliseconds(5'000));
  }
}

void Gateway::Start(const std::filesystem::path& aProgram,
                    const std::filesystem::path& aSettings)
{
  const std::string settings = "GYPSUMSTREAM_BOOT=" + aSettings.string();
  const std::string log = aSettings.string() + ".log";
  const std::string root = aProgram.parent_path().parent_path().string();
  process_ = fork();
  if (process_ == 0) {
    const int out = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::array<char*, 2> environment{ const_cast<char*>(settings.c_str()),
                                      nullptr };
    std::array<char*, 3> arguments{ const_cast<char*>("target/gypsumstream"),
                                    const_cast<char*>("gateway"),
                                    nullptr };
    if (chdir(root.c_str()) == 0) {
      execve(aProgram.c_str(), arguments.data(), environment.data());
    }
    _exit(127);
  }
}

void Gateway::Signal(int aSignal) const
{
  if (process_ > 0) {
    kill(process_, aSignal);
  }
}

std::optional<int> Gateway::WaitForEnd(Milliseconds aTime)
{
  const auto deadline = Clock::now() + aTime;
  for (;;) {
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) == process_) {
      process_ = 0;
      return status;
    }
    if (Clock::now() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

World::World(const std::filesystem::path& aRoot,
             const std::string& aRecordPath,
             int aGateways)
  : root_(aRoot)
  , network_("127." + std::to_string(64 + getpid() % 128) + "." +
             std::to_string(getpid() / 128 % 250) + ".")
  , record_(aRecordPath)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "gypsum-review-XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  std::vector<std::string> hosts{ Host(1) };
  for (int index = 0; index < aGateways; ++index) {
    gateways_.push_back(std::make_unique<Gateway>(
      "front-" + std::to_string(index), Host(100 + index)));
    hosts.push_back(gateways_.back()->Host());
  }
  int next = 20'000 + getpid() % 10'000;
  for (int* const port : { &ports_.clients,
                           &ports_.ready,
                           &ports_.control,
                           &ports_.metrics,
                           &ports_.peers,
                           &ports_.store,
                           &ports_.replicas }) {
    while (!std::ranges::all_of(
      hosts, [&](const std::string& aHost) { return IsFree(aHost, next); })) {
      ++next;
    }
    *port = next++;
  }
  store_ = std::make_unique<Store>(Host(1), ports_.store);
}

World::~World()
{
  gateways_.clear();
  store_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string World::Host(int aMachine) const
{
  return network_ + std::to_string(aMachine);
}

std::filesystem::path World::SettingsOf(const Gateway& aGateway) const
{
  return folder_ / (aGateway.Name() + ".ini");
}

void World::WriteSettings(const Gateway& aGateway, int aExtraRepeats) const
{
  const auto at = [&](int aPort) {
    return aGateway.Host() + ":" + std::to_string(aPort);
  };
  const std::string path = SettingsOf(aGateway).string();
  std::ofstream out(path + ".new", std::ios::trunc);
  out << "[gateway]\nname = " << aGateway.Name()
      << "\nzone = zone-a\ngrace_s = 8\nprocessor_share = 0.19\n\n[network]\n"
      << "clients = " << at(ports_.clients) << "\nready = " << at(ports_.ready)
      << "\ncontrol = " << at(ports_.control)
      << "\nmetrics = " << at(ports_.metrics) << "\nstore = " << Host(1) << ":"
      << ports_.store << "\npeer_port = " << ports_.peers
      << "\nseeds = " << gateways_.front()->Host() << ":" << ports_.control
      << "\n\n[repeats]\nratio = 0.2\nextra = " << aExtraRepeats
      << "\nwindow_s = 10\n\n[log]\nlevel = info\nlines_per_s = 200\n";
  out.close();
  std::filesystem::rename(path + ".new", path);
}

void World::StartGateway(Gateway& aGateway) const
{
  aGateway.Start(root_ / "target" / "gypsumstream", SettingsOf(aGateway));
}

bool World::IsReady(const Gateway& aGateway) const
{
  const auto socket = Connection::Open(aGateway.Host(), ports_.ready);
  if (!socket) {
    return false;
  }
  Connection connection(*socket);
  Message answer;
  return connection.Write(Format("GET /gypsumstream/readyz HTTP/1.1",
                                 { { "Host", aGateway.Host() } },
                                 "")) &&
         connection.Read(answer, Clock::now() + Milliseconds(500)) ==
           ReadEnd::Complete &&
         answer.Status() == 200;
}

bool World::AwaitReady(const Gateway& aGateway) const
{
  const auto deadline = Clock::now() + kStartTime;
  while (Clock::now() < deadline) {
    if (IsReady(aGateway)) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

Registration::Registration(Store& aStore,
                           std::string aId,
                           std::string aService,
                           std::string aAddress,
                           unsigned aSlots,
                           std::string aVersion)
  : store_(aStore)
  , id_(std::move(aId))
  , service_(std::move(aService))
  , address_(std::move(aAddress))
  , slots_(aSlots)
  , version_(std::move(aVersion))
  , born_(UnixMs())
  , thread_([this] { Beat(); })
{
}

Registration::~Registration()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  stopped_.notify_all();
  thread_.join();
}

void Registration::Beat()
{
  std::uint64_t seq = 0;
  std::unique_lock lock(mutex_);
  while (!isStopping_) {
    const std::string entry =
      json::serialize(json::object{ { "service", service_ },
                                    { "address", address_ },
                                    { "zone", "zone-a" },
                                    { "version", version_ },
                                    { "slots", slots_ },
                                    { "state", "ready" },
                                    { "cold-left-ms", 0 },
                                    { "seq", ++seq },
                                    { "born", born_ } });
    if (seq == 1) {
      store_.Put("servers/" + id_, entry);
    } else {
      store_.Refresh("servers/" + id_, entry);
    }
    stopped_.wait_for(lock, kHeartbeat, [this] { return isStopping_; });
  }
}

Client::Client(Record& aRecord)
  : record_(aRecord)
{
}

Outcome Client::Send(const std::string& aHost,
                     int aPort,
                     const std::string& aRequest,
                     Milliseconds aTimeout)
{
  Outcome outcome;
  if (connection_ && (host_ != aHost || connection_->HasEnded())) {
    connection_.reset();
  }
  if (!connection_) {
    const auto socket = Connection::Open(aHost, aPort);
    if (!socket) {
      outcome.endedAt = record_.Now();
      return outcome;
    }
    connection_ = std::make_unique<Connection>(*socket);
    host_ = aHost;
  }
  outcome.sentAt = record_.Now();
  outcome.wasSent = connection_->Write(aRequest);
  outcome.end = connection_->Read(outcome.answer, Clock::now() + aTimeout);
  outcome.endedAt = record_.Now();
  if (outcome.end != ReadEnd::Complete ||
      outcome.answer.Get("Connection") == "close") {
    connection_.reset();
  }
  return outcome;
}

std::string NextAttempt()
{
  static std::atomic<std::uint32_t> last = 0;
  std::array<char, 24> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08x%08x",
                static_cast<unsigned>(getpid()),
                ++last);
  return text.data();
}

} // namespace review
