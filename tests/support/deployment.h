#pragma once

#include "drivers/http/http_client.h"
#include "tests/support/child_process.h"
#include "tests/support/fresh_key.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

/** A TCP relay process between two others; see `fakes::Relay`. */
struct RelayHost
{
  std::string listenAddress;
  std::string controlAddress;
  std::unique_ptr<ChildProcess> process;
};

/** An agent with its backend server. */
struct ReplicaHost
{
  std::string name;
  std::string service;
  std::string zone;
  std::string peerAddress;
  std::string httpAddress;
  std::string backendAddress;
  std::unique_ptr<ChildProcess> backend;
  std::unique_ptr<ChildProcess> agent;
  RelayHost peerRelay;    ///< Between entries and agent, if started.
  RelayHost backendRelay; ///< Between agent and backend server, if started.
};

/** An entry process. */
struct EntryHost
{
  std::string name;
  std::string peerAddress;
  std::string httpAddress;
  std::unique_ptr<ChildProcess> process;
};

/** Response as received by a caller. */
struct CallerResponse
{
  unsigned status = 0; ///< Zero if no response arrived.
  std::string outcome;
  std::string error;
  std::string retryAfter;
  std::string body;
};

/**
 * A small fleet of processes: entries, agents, and fakes of the platform and
 * of the backend servers.
 *
 * The services are `writer` (engine, two replicas) and `booking` (plain, two
 * replicas). The pipelines are `answer` (encode, generate), `hold` (draft,
 * confirm) and `book` (confirm only); `confirm` must not be retried.
 */
class Deployment
{
public:
  explicit Deployment(std::string aExtraAgentSettings = {});
  ~Deployment();

  /** Sets the log level of processes that start afterwards. */
  void SetLogLevel(std::string aLevel) { logLevel_ = std::move(aLevel); }

  /** Lists the agents as seeds in the settings of processes that start
   * afterwards. */
  void UseSeeds(bool aUsesSeeds = true) { usesSeeds_ = aUsesSeeds; }

  /** Log of a process so far. */
  std::string LogOf(const std::string& aName) const;

  void StartPlatform();
  void StartBackend(ReplicaHost& aHost);
  void StartAgent(ReplicaHost& aHost);
  void StartEntry(EntryHost& aHost);
  /** Starts relays on both sides of each agent; call before the agents start.
   */
  void StartRelays();
  /** Sets the mode of a relay. */
  void SetRelay(const RelayHost& aRelay, const std::string& aMode) const;
  /** Starts all processes and waits until each entry reports every agent as
   * live. */
  void StartAll();

  EntryHost& Entry(std::size_t aIndex) { return *entries_.at(aIndex); }
  ReplicaHost& Replica(const std::string& aName);
  std::vector<std::unique_ptr<ReplicaHost>>& Replicas() { return replicas_; }
  std::vector<std::unique_ptr<EntryHost>>& Entries() { return entries_; }
  const std::string& PlatformAddress() const { return platformAddress_; }
  ChildProcess& Platform() { return *platform_; }

  /** Manifest text with a revision. */
  std::string ManifestText(std::uint64_t aRevision) const;
  void Publish(std::uint64_t aRevision);
  /** Publishes a manifest text, valid or not. */
  void PublishManifestText(std::uint64_t aRevision, const std::string& aText);

  CallerResponse Post(const EntryHost& aEntry,
                      const std::string& aPipeline,
                      const std::string& aKey,
                      const std::string& aBody,
                      const std::string& aDeadlineMs = {}) const;
  /** Body of a GET or control call; empty unless the status is 200. */
  std::string Get(const std::string& aAddress,
                  const std::string& aPathAndQuery) const;
  /** Number of executions of a key, summed over the replicas of a service. */
  std::uint64_t Executions(const std::string& aService,
                           const std::string& aKey) const;
  /** Highest number of executions of any key of a service. */
  std::uint64_t MaxExecutions(const std::string& aService) const;
  /** Number of executions of a key at one replica. */
  std::uint64_t ExecutionsAt(const ReplicaHost& aHost,
                             const std::string& aKey) const;
  /** Keys that a service has executed at least once. */
  std::set<std::string> ExecutedKeys(const std::string& aService) const;
  bool IsEveryMemberLive(const EntryHost& aEntry) const;
  /** Active revision of an entry; zero if it does not respond. */
  std::uint64_t RevisionOf(const EntryHost& aEntry) const;

private:
  RelayHost StartRelay(const std::string& aName, const std::string& aTarget);
  void AddReplica(const std::string& aService, const std::string& aName);
  void AddEntry(const std::string& aName);
  std::string SeedsLine() const;
  std::string WriteSettings(const std::string& aName, const std::string& aText);

  std::filesystem::path folder_;
  std::string extraAgentSettings_;
  std::string logLevel_ = "debug";
  std::string platformAddress_;
  bool usesSeeds_ = false;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<std::unique_ptr<ReplicaHost>> replicas_;
  std::vector<std::unique_ptr<EntryHost>> entries_;
};

} // namespace gypsum::tests
