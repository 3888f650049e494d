#pragma once

#include "tests/cell/cell_client.h"
#include "tests/cell/cell_loop.h"
#include "tests/cell/cell_replica.h"
#include "tests/cell/cell_store.h"
#include "tests/support/child_process.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum::tests {

/** How large a cell is. */
struct CellSize
{
  int gateways = 2;
  int models = 3;
  int plain = 2;
  int stages = 2;
};

/** One gateway process and where it listens. */
struct CellGateway
{
  std::string clients;
  std::string ready;
  std::string metrics;
  std::string settingsFile;
  std::string logFile;
  std::string address; ///< Loopback address of its own, without a port.
  std::unique_ptr<ChildProcess> process;
};

/**
 * A whole deployment on loopback: gateway processes, and fakes of the store,
 * the replicas and the stage servers on one event loop.
 *
 * Each gateway has a loopback address of its own, so that all use one port for
 * their exchange, as on machines.
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
  bool IsReady(const CellGateway& aGateway) const;
  bool WaitUntilReady(const CellGateway& aGateway) const;
  /** The whole text at a path of a gateway's metrics address. */
  std::string Send(const CellGateway& aGateway, const std::string& aPath) const;

  /** A request of a kind with a fresh attempt id. */
  CellRequest Plain(const std::string& aPath);
  CellRequest MakeStreamRequest(const std::string& aPath);
  CellRequest MakeStagedRequest();

  /** Executions of one attempt that replicas began. */
  std::vector<CellExecution> ExecutionsOf(const std::string& aAttempt);

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
  std::vector<std::unique_ptr<CellReplica>>& PlainServers() { return plain_; }
  std::vector<std::unique_ptr<CellReplica>>& StageServers() { return stages_; }
  /** All that ran; on the loop. */
  const std::vector<CellExecution>& Executions() const { return executions_; }
  std::vector<CellReplica*> Replicas();
  std::filesystem::path Folder() const { return folder_; }

  /** What the next `Publish` writes. */
  struct Published
  {
    std::uint64_t version = 0;
    std::vector<std::string> keys{ "key-one", "key-two" };
    std::string onceService = "plain";
    bool hasLateRoute = false;
    int timeoutMs = 1'500;
  };
  Published published;

private:
  void WriteSettings(const CellGateway& aGateway) const;
  std::string NextAttemptId();
  void AddReplicas(CellReplica::Kind aKind,
                   const std::string& aService,
                   int aCount,
                   std::vector<std::unique_ptr<CellReplica>>& aTo);

  std::uint64_t seed_;
  std::string net_; ///< First three numbers of the addresses.
  std::filesystem::path folder_;
  CellLoop loop_;
  std::vector<CellExecution> executions_;
  std::unique_ptr<CellStore> store_;
  std::vector<std::unique_ptr<CellReplica>> modelReplicas_;
  std::vector<std::unique_ptr<CellReplica>> plain_;
  std::vector<std::unique_ptr<CellReplica>> stages_;
  std::vector<CellGateway> gateways_;
  std::uint64_t lastAttemptNumber_ = 0;
};

} // namespace gypsum::tests
