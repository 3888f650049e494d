#pragma once

#include "review/stand_ins/wire.h"

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Lines of `record.txt`, with the time since the start. */
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Write(const std::string& aLine);
  Milliseconds Now() const;

private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point begin_ = Clock::now();
};

/** Calls a function for each connection, each on a thread of its own. */
class Server
{
public:
  using Session = std::function<void(Connection&)>;

  Server(const std::string& aHost, int aPort, Session aSession);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

private:
  void Accept();

  int listener_;
  Session session_;
  std::atomic<bool> isStopping_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> sessions_;
  std::thread acceptor_;
};

/** The platform's store: lists, watches, and what the operator and the replicas
 * write there. */
class Store
{
public:
  Store(const std::string& aHost, int aPort);

  /** Returns the revision of the change. */
  std::uint64_t Put(const std::string& aKey, const std::string& aValue);
  /** Writes an entry of which only `seq` has changed: that is no change of the
   * entry, unless the store does not have it. */
  void Refresh(const std::string& aKey, const std::string& aValue);

  /** Keeps a copy of all that it holds now. */
  void Copy();
  /** Ends all connections and accepts none. */
  void GoAway();
  /** Serves again, from the copy and in the next era. */
  void ComeBackFromCopy();

private:
  struct Item
  {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  /** What a drill takes back. */
  struct Content
  {
    std::map<std::string, Item> items;
    std::vector<Item> history;
    std::uint64_t revision = 100;
  };

  void Open();
  void Serve(Connection& aConnection);
  std::string List(const std::string& aPrefix, const std::string& aAfter);
  /** Empty if it doesn't have the revision. */
  std::string Watch(const std::string& aPrefix,
                    std::uint64_t aAfter,
                    Milliseconds aWait);

  std::string host_;
  int port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Content content_;
  Content copy_;
  std::uint64_t era_ = 1;
  bool isAway_ = false;
  std::unique_ptr<Server> server_; ///< Last, so that it ends first.
};

/** An attempt that a replica has worked on. */
struct Run
{
  std::string replica;
  Milliseconds begin{};
  Milliseconds end{};      ///< Zero while it runs.
  bool isComplete = false; ///< The whole answer was written.
};

/** Runs by attempt, as the replicas saw them. */
class Runs
{
public:
  void OnBegin(const std::string& aAttempt, Run aRun);
  void OnEnd(const std::string& aAttempt, Milliseconds aAt, bool aIsComplete);
  std::vector<Run> Of(const std::string& aAttempt);
  std::size_t Count();

private:
  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
};

/** One gateway: the program under test, as a process of its own. */
class Gateway
{
public:
  Gateway(std::string aName, std::string aHost);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start(const std::filesystem::path& aProgram,
             const std::filesystem::path& aSettings);
  void Signal(int aSignal) const;
  /** Waits for its end; the wait status, or empty if it goes on. */
  std::optional<int> WaitForEnd(Milliseconds aTime);
  bool IsRunning() const { return process_ > 0; }
  const std::string& Name() const { return name_; }
  const std::string& Host() const { return host_; }

private:
  std::string name_;
  std::string host_;
  pid_t process_ = 0;
};

/** Ports, the same on all machines. */
struct Ports
{
  int clients = 0;
  int ready = 0;
  int control = 0;
  int metrics = 0;
  int peers = 0;
  int store = 0;
  int replicas = 0;
};

/** A small deployment on loopback addresses of its own. */
class World
{
public:
  World(const std::filesystem::path& aRoot,
        const std::string& aRecordPath,
        int aGateways);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Record& Log() { return record_; }
  Store& TheStore() { return *store_; }
  Runs& TheRuns() { return runs_; }
  const Ports& ThePorts() const { return ports_; }
  std::vector<std::unique_ptr<Gateway>>& Gateways() { return gateways_; }
  /** Address of a machine: 1 is the store, from 10 on replicas. */
  std::string Host(int aMachine) const;
  /** Writes the settings that the platform fills in from the template. */
  void WriteSettings(const Gateway& aGateway, int aExtraRepeats) const;
  void StartGateway(Gateway& aGateway) const;
  /** Waits until a gateway answers that it is ready. */
  bool AwaitReady(const Gateway& aGateway) const;
  bool IsReady(const Gateway& aGateway) const;

private:
  std::filesystem::path SettingsOf(const Gateway& aGateway) const;

  std::filesystem::path root_;
  std::filesystem::path folder_;
  std::string network_;
  Record record_;
  Ports ports_;
  Runs runs_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

/** A replica's entry in the store, written again at each heartbeat. */
class Registration
{
public:
  Registration(Store& aStore,
               std::string aId,
               std::string aService,
               std::string aAddress,
               unsigned aSlots,
               std::string aVersion = "v1");
  ~Registration();
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

private:
  void Beat();

  Store& store_;
  std::string id_;
  std::string service_;
  std::string address_;
  unsigned slots_;
  std::string version_;
  std::int64_t born_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool isStopping_ = false;
  std::thread thread_;
};

/** What a client saw of one attempt. */
struct Outcome
{
  ReadEnd end = ReadEnd::Closed;
  bool wasSent = false; ///< The whole request was written.
  Message answer;
  Milliseconds sentAt{};
  Milliseconds endedAt{};
};

/** A client with one connection, which it keeps as long as it may. */
class Client
{
public:
  explicit Client(Record& aRecord);

  Outcome Send(const std::string& aHost,
               int aPort,
               const std::string& aRequest,
               Milliseconds aTimeout);
  void Close() { connection_.reset(); }

private:
  Record& record_;
  std::string host_;
  std::unique_ptr<Connection> connection_;
};

/** A new attempt id of 16 hexadecimal digits. */
std::string NextAttempt();

// The cases; each returns the exit code.
int RunPlannedStops(World& aWorld, bool aHasTrouble);
int RunLateCopies(World& aWorld, bool aHasTrouble);
int RunStageOrder(World& aWorld, bool aHasTrouble);
int RunLastTenant(World& aWorld, bool aHasTrouble);
int RunGreyReplica(World& aWorld, bool aHasTrouble);
int RunStoreDrill(World& aWorld, bool aHasTrouble);
int RunRefusedHeads(World& aWorld, bool aHasTrouble);
int RunOddCount(World& aWorld, bool aHasTrouble);
int RunSilentStreams(World& aWorld, bool aHasTrouble);

} // namespace review
