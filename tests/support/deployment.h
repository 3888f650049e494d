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

/** A relay that a test can cut. */
struct RelayHost
{
  std::string listenAddress;
  std::string controlAddress;
  std::unique_ptr<ChildProcess> process;
};

/** One agent with its backend server. */
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
  RelayHost peerRelay;    ///< Between entries and the agent, if started.
  RelayHost backendRelay; ///< Between agent and backend server, if started.
};

/** One entry. */
struct EntryHost
{
  std::string name;
  std::string peerAddress;
  std::string httpAddress;
  std::unique_ptr<ChildProcess> process;
};

/** What a caller got. */
struct CallerResponse
{
  unsigned status = 0; ///< Zero if the connection broke.
  std::string outcome;
  std::string error;
  std::string retryAfter;
  std::string body;
};

/**
 * A small fleet of real processes: platform, entries, agents, backend servers.
 *
 * Service `writer` (engine, two replicas) and `booking` (plain, two replicas)
 * carry the pipelines `answer` (encode, generate), `hold` (draft, confirm) and
 * `book` (confirm alone); `confirm` may not be repeated.
 */
class Deployment
{
public:
  explicit Deployment(std::string aExtraAgentSettings = {});
  ~Deployment();

  /** Level of the processes' logs; before they start. */
  void SetLogLevel(std::string aLevel) { logLevel_ = std::move(aLevel); }

  /** Gives each process the agents as seeds, from its next start on. */
  void UseSeeds(bool aUsesSeeds = true) { usesSeeds_ = aUsesSeeds; }

  /** What a process has logged so far. */
  std::string LogOf(const std::string& aName) const;

  void StartPlatform();
  void StartBackend(ReplicaHost& aHost);
  void StartAgent(ReplicaHost& aHost);
  void StartEntry(EntryHost& aHost);
  /** Puts relays on both sides of each agent; before the agents start. */
  void StartRelays();
  /** Sets the mode of a relay. */
  void SetRelay(const RelayHost& aRelay, const std::string& aMode) const;
  /** Starts all and waits until each entry hears each agent. */
  void StartAll();

  EntryHost& Entry(std::size_t aIndex) { return *entries_.at(aIndex); }
  ReplicaHost& Replica(const std::string& aName);
  std::vector<std::unique_ptr<ReplicaHost>>& Replicas() { return replicas_; }
  std::vector<std::unique_ptr<EntryHost>>& Entries() { return entries_; }
  const std::string& PlatformAddress() const { return platformAddress_; }
  ChildProcess& Platform() { return *platform_; }

  /** The manifest with a revision, to publish. */
  std::string ManifestText(std::uint64_t aRevision) const;
  void Publish(std::uint64_t aRevision);
  /** Makes the platform serve a text, valid or not. */
  void PublishManifestText(std::uint64_t aRevision, const std::string& aText);

  CallerResponse Post(const EntryHost& aEntry,
                      const std::string& aPipeline,
                      const std::string& aKey,
                      const std::string& aBody,
                      const std::string& aDeadlineMs = {}) const;
  /** The body of a GET or control call; empty if none came. */
  std::string Get(const std::string& aAddress,
                  const std::string& aPathAndQuery) const;
  /** Executions of `customer/key/operation` summed over a service. */
  std::uint64_t Executions(const std::string& aService,
                           const std::string& aKey) const;
  /** The largest count of executions of any key of a service. */
  std::uint64_t MaxExecutions(const std::string& aService) const;
  /** Executions of a key at one replica. */
  std::uint64_t ExecutionsAt(const ReplicaHost& aHost,
                             const std::string& aKey) const;
  /** Keys that a service executed at least once. */
  std::set<std::string> ExecutedKeys(const std::string& aService) const;
  bool IsEveryMemberLive(const EntryHost& aEntry) const;
  /** The revision an entry has in force; zero if it does not answer. */
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
