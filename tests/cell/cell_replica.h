#pragma once

#include "drivers/edge/edge_listener.h"
#include "tests/cell/cell_loop.h"
#include "tests/cell/cell_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gypsum::tests {

/** One request of a client that a replica began to work on. */
struct CellExecution
{
  std::string attemptId;
  std::string replica;
  std::string customer;
  std::string path;
  std::int64_t deadlineMs = 0;
  bool isResumed = false;
  Instant at{};
};

/** What a replica does wrong; chances are parts of its requests. */
struct CellFaults
{
  double reject = 0.0;            ///< 503 without having run it.
  double fail = 0.0;              ///< Its own 500, after it ran.
  double loseResponse = 0.0;      ///< Runs it, then resets.
  double truncate = 0.0;          ///< Breaks off inside the answer.
  double hang = 0.0;              ///< Runs it and never answers.
  double sendExtraResponse = 0.0; ///< Sends a second answer behind the first.
  bool isUnresponsive = false;    ///< Reads nothing.
  bool closesIdle = false;        ///< Closes kept connections at once.
  double delayFactor = 1.0;
};

/** Model replicas, plain servers and stage servers, by their protocol. */
class CellReplica
{
public:
  enum class Kind
  {
    Plain,
    Model,
    Stage,
  };

  CellReplica(CellLoop& aLoop,
              CellStore& aStore,
              std::vector<CellExecution>& aExecutions,
              Kind aKind,
              std::string aId,
              std::string aService,
              std::string aAddress,
              std::uint64_t aSeed);

  const std::string& Id() const { return id_; }
  const std::string& Address() const { return address_; }
  // All of these run on the loop.
  /** Registers at the store; `aRegisteredAddress` is a proxy before it, or
   * empty. */
  void Register(const std::string& aRegisteredAddress = "");
  void Drain();
  void Unregister();
  /** Another life under the same id: nothing is known of before. */
  void Restart();
  CellFaults& Faults() { return faults_; }
  std::uint32_t MaxConcurrentCalls() const { return maxConcurrentCalls_; }
  std::uint64_t Pieces() const { return pieces_; }
  std::size_t Results() const { return results_.size(); }

private:
  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient);
  boost::asio::awaitable<bool> RunPlain(ClientConnection& aClient);
  boost::asio::awaitable<bool> RunModel(ClientConnection& aClient);
  boost::asio::awaitable<bool> RunPieces(ClientConnection& aClient);
  boost::asio::awaitable<void> Sleep(std::chrono::milliseconds aTime);
  EdgeResponse SealedResponse(const ClientConnection& aClient,
                              std::string aBody) const;
  EdgeResponse NotExecutedResponse(unsigned aStatus) const;
  bool DrawFault(double aChance);
  void Write(const std::string& aState);
  void RecordExecution(const ClientConnection& aClient);

  boost::asio::io_context& loop_;
  CellStore& store_;
  std::vector<CellExecution>& executions_;
  Kind kind_;
  std::string id_;
  std::string service_;
  std::string address_;
  std::string registeredAddress_;
  EdgeListener listener_;
  CellFaults faults_;
  std::mt19937_64 random_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t seq_ = 0;
  std::uint32_t calls_ = 0;
  std::uint32_t maxConcurrentCalls_ = 0;
  std::uint64_t pieces_ = 0;
  std::uint64_t lastResult_ = 0;
  std::map<std::string, std::string> results_; ///< Handle to attemptId.
};

} // namespace gypsum::tests
