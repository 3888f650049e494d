#pragma once

#include "tests/cell/cell_client.h"
#include "tests/cell/cell_loop.h"
#include "tests/cell/cell_processes.h"
#include "tests/cell/cell_replica.h"
#include "tests/cell/cell_store.h"
#include "tests/support/child_process.h"

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum::tests {

/** Number of processes and fakes in a cell, and the time that a stopping
 * gateway has. */
struct CellSize
{
  int gateways = 2;
  int modelReplicas = 3;
  int plainServers = 2;
  int stageServers = 2;
  int graceSeconds = 4;
};

/** One gateway process and the addresses it listens on. */
struct CellGateway
{
  std::string clientAddress;
  std::string readyAddress;
  std::string metricsAddress;
  std::string controlAddress;
  std::string peerAddress;
  std::string storeAddress; ///< A door of the store for this gateway only.
  std::size_t storeDoor = 0;
  std::string settingsFile;
  std::string logFile;
  std::string hostAddress; ///< IPv4 loopback address, without a port.
  std::unique_ptr<ChildProcess> process;
};

/**
 * A complete test deployment on loopback: real gateway processes, with fakes
 * of the metadata store, the replicas and the stage servers on one event loop.
 *
 * Each gateway has its own loopback address, so that all gateways use the same
 * peer port, as they do on separate machines.
 */
class Cell
{
public:
  explicit Cell(CellSize aSize, std::uint64_t aSeed = 1);
  ~Cell();

  /** Publishes the next version of the configuration. */
  void Publish();
  /** Starts all gateways and waits until each is ready. */
  bool Start();
  void StartGateway(CellGateway& aGateway);
  /** Keeps a gateway and the others from hearing each other; call it before the
   * gateway starts. */
  void Isolate(const CellGateway& aGateway) const;
  bool IsReady(const CellGateway& aGateway) const;
  bool WaitUntilReady(const CellGateway& aGateway) const;
  /** Response body of a GET on a gateway's metrics address. */
  std::string Get(const CellGateway& aGateway, const std::string& aPath) const;

  /** Requests with a new attempt id. */
  CellRequest MakePlainRequest(const std::string& aPath);
  CellRequest MakeStreamRequest(const std::string& aPath);
  CellRequest MakeStagedRequest();

  /** Executions that replicas started for one attempt id. */
  std::vector<CellExecution> ExecutionsOf(const std::string& aAttemptId);

  /** Runs a function on the event loop and returns its result. */
  template<typename Function>
  auto Run(Function aFunction)
  {
    return loop_.Run(std::move(aFunction));
  }

  CellLoop& Loop() { return loop_; }
  CellStore& Store() { return *store_; }
  std::vector<CellGateway>& Gateways() { return gateways_; }
  std::vector<std::unique_ptr<CellReplica>>& ModelReplicas()
  {
    return modelReplicas_;
  }
  std::vector<std::unique_ptr<CellReplica>>& PlainServers()
  {
    return plainServers_;
  }
  std::vector<std::unique_ptr<CellReplica>>& StageServers()
  {
    return stageServers_;
  }
  /** All executions so far; call on the loop. */
  const std::vector<CellExecution>& Executions() const { return executions_; }
  std::vector<CellReplica*> Replicas();
  std::filesystem::path Folder() const { return folder_; }

  /** Variable parts of the configuration that the next `Publish` writes. */
  struct Configuration
  {
    std::uint64_t version = 0;
    std::vector<std::string> apiKeys{ "key-one", "key-two" };
    std::string nonIdempotentService = "plain"; ///< Of the route `/once/`.
    bool hasLateRoute = false; ///< Whether the route `/late/` exists.
    std::vector<std::string> extraRoutes; ///< Prefixes of plain routes.
    int timeoutMs = 1'500;
    double coldPerSecond = 0.0; ///< Of each cold model replica; zero: no rate.
    int kvCapacityTokens = 600'000; ///< Of each model replica.
    int targetMs = 400; ///< Streams are left after four times that, or 2 s.
  };
  Configuration configuration;

private:
  void WriteSettings(const CellGateway& aGateway,
                     int aPeerPort,
                     const std::string& aSeedHost) const;
  std::string NextAttemptId();
  void AddReplicas(CellReplica::Kind aKind,
                   const std::string& aService,
                   int aCount,
                   std::vector<std::unique_ptr<CellReplica>>& aTo);

  std::uint64_t seed_;
  int graceSeconds_;
  std::string
    networkPrefix_; ///< First three octets of the addresses, with a dot.
  std::filesystem::path folder_;
  CellLoop loop_;
  std::vector<CellExecution> executions_;
  CellProcesses processes_;
  std::unique_ptr<CellStore> store_;
  std::vector<std::unique_ptr<CellReplica>> modelReplicas_;
  std::vector<std::unique_ptr<CellReplica>> plainServers_;
  std::vector<std::unique_ptr<CellReplica>> stageServers_;
  std::vector<CellGateway> gateways_;
  std::atomic<std::uint64_t> lastAttemptNumber_ = 0;
};

} // namespace gypsum::tests
