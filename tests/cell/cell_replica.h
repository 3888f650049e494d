#pragma once

#include "drivers/edge/edge_listener.h"
#include "tests/cell/cell_loop.h"
#include "tests/cell/cell_processes.h"
#include "tests/cell/cell_response_writer.h"
#include "tests/cell/cell_store.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gypsum::tests {

/** One execution of a client request that a replica has started. */
struct CellExecution
{
  std::string attemptId;
  std::string replica;
  std::string customer;
  std::string path;
  std::string prompt; ///< Parts of the prompt; empty without one.
  std::string body;
  std::string version;           ///< Software version of the replica.
  std::uint64_t incarnation = 0; ///< Of the replica.
  std::int64_t deadlineMs = 0;
  bool isResumed = false;
  Instant arrivedAt{}; ///< An unresponsive replica starts it much later.
  Instant at{};
};

/** A request that has reached a replica, executed or not. */
struct CellArrival
{
  std::string attemptId; ///< Empty for calls about pieces.
  Instant at{};
  pid_t gateway = 0;             ///< Process that sent it; zero if unknown.
  std::uint64_t incarnation = 0; ///< Of the server.
  std::string path{};
};

/** How a server turns gateways away and asks them for rest. */
struct CellRest
{
  std::string text = "2"; ///< Value of the header.
  std::chrono::milliseconds length{ 2'000 };
  /** Of a request from a gateway that is not asked to rest already. */
  double chance = 1.0;
  bool isNotExecuted = true; ///< Whether the response says so.
  bool turnsAway = false;    ///< Also what arrives in a rest.
  /** Time from a request to the response that asks for rest. */
  std::chrono::milliseconds delay{ 0 };
};

/** A rest that a server has asked of one gateway. */
struct CellAskedRest
{
  pid_t gateway = 0;             ///< Process that was asked; zero if unknown.
  std::uint64_t incarnation = 0; ///< Of the server.
  Instant at{};
  Duration length{};
};

/** How the process of a replica ends. */
enum class CellEnd
{
  Closed,  ///< Its connections are reset, new ones are refused.
  Silent,  ///< Connections stay open, new ones are accepted, nothing is sent.
  Renamed, ///< Silent, and starts again under another id.
};

/** Time after an end until the entry of a silent server is removed. */
inline constexpr std::chrono::milliseconds kEntryLifetime{ 1'500 };

/** What ends a replica which begins to respond to it. */
struct CellCrash
{
  std::string part; ///< Of a prompt; empty: no part does.
  int events = 0;   ///< Events that are sent before the end.
  std::chrono::milliseconds downTime{ 1'500 };
  std::string request{};  ///< Its body or its path; empty: no request does.
  std::string pieceKey{}; ///< Of a piece; empty: no piece does.
  CellEnd end = CellEnd::Closed;
  std::chrono::milliseconds delay{ 0 }; ///< Added to the service time.
};

/** Whether a prompt has this part, other than as its last one. */
bool HasSharedPart(const std::string& aPrompt, const std::string& aPart);

/** Bytes that a replica writes in place of a response. */
struct CellRawResponse
{
  /** `%A` stands for the attempt, `%E` for the event that is due. */
  std::string bytes;
  bool isReset = false;     ///< Resets the connection after them.
  bool keepsOpen = false;   ///< Leaves the connection open after them.
  bool onlyResumes = false; ///< Other requests get their usual response.
};

/** Injected faults of a replica; a `double` is a probability per request. */
struct CellFaults
{
  double refuse = 0.0;       ///< Responds 503 without executing the request.
  double fail = 0.0;         ///< Responds 500 after execution.
  double loseResponse = 0.0; ///< Resets the connection after execution.
  double truncate = 0.0;     ///< Ends the connection within the response.
  double hang = 0.0;         ///< Executes, then responds after all timeouts.
  double sendExtraResponse = 0.0; ///< Sends each response twice.
  /** Writes the last refusal of a connection again before each response. */
  bool repeatsRefusals = false;
  /** Writes the last response to a call for pieces on a connection again before
   * each response there. */
  bool repeatsPieces = false;
  bool namesRefused = false;   ///< Refusals name the attempt that they answer.
  bool isEndless = false;      ///< Sends an event without end.
  bool isUnresponsive = false; ///< Blocks requests and streams until cleared.
  bool closesAfterResponse = false; ///< Closes the connection after a response.
  double delayFactor = 1.0;         ///< Multiplies all processing times.
  /** Framing of responses; empty for the usual one of the kind. */
  std::optional<BodyFraming> framing;
  std::optional<CellCut> cut; ///< Breaks off responses at this byte.
  std::optional<CellRawResponse> raw;
};

/** Fake model replica, plain server or stage server. */
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
              const CellProcesses& aProcesses,
              Kind aKind,
              std::string aId,
              std::string aService,
              std::string aAddress,
              std::uint64_t aSeed);

  const std::string& Id() const { return id_; }
  const std::string& Address() const { return address_; }
  // The functions below must be called on the loop.
  /** Registers in the store, under the address of a proxy if one is given. */
  void Register(const std::string& aRegisteredAddress = "");
  void Drain();
  void Unregister();
  /** Changes the availability zone; call before `Register` or `Restart`. */
  void SetZone(std::string aZone) { zone_ = std::move(aZone); }
  const std::string& Zone() const { return zone_; }
  /** Changes for how long its entry says that it is cold; call as above. */
  void SetColdTime(std::chrono::milliseconds aTime) { coldTime_ = aTime; }
  /** Changes the software version; call before `Register` or `Restart`. */
  void SetVersion(std::string aVersion) { version_ = std::move(aVersion); }
  /** Starts a new incarnation under the same id, without any results. */
  void Restart();
  /** Ends for some time, then starts again as a new incarnation. */
  void Crash(std::chrono::milliseconds aDownTime,
             CellEnd aEnd = CellEnd::Closed);
  /** Unlike `Faults`, it is kept until it is set again. */
  void SetCrash(CellCrash aCrash) { crash_ = std::move(aCrash); }
  /** Names this limit in all later responses; empty: none. */
  void SetLimit(std::optional<std::string> aLimit)
  {
    limit_ = std::move(aLimit);
  }
  /** Says in all later responses of this incarnation that it leaves; the store
   * is not told. */
  void SetLeaving(bool aIsLeaving) { isLeaving_ = aIsLeaving; }
  /** Asks gateways for rest from now on; empty: none. */
  void SetRest(std::optional<CellRest> aRest) { rest_ = std::move(aRest); }
  const std::vector<CellAskedRest>& Rests() const { return rests_; }
  /** Requests of any kind that have arrived. */
  const std::vector<CellArrival>& Arrivals() const { return arrivals_; }
  /** Times of all crashes so far. */
  const std::vector<Instant>& Crashes() const { return crashes_; }
  CellFaults& Faults() { return faults_; }
  /** Highest number of batch calls that ran at the same time. */
  std::uint32_t MaxConcurrentCalls() const { return maxConcurrentCalls_; }
  /** Number of pieces computed so far. */
  std::uint64_t Pieces() const { return pieces_; }
  /** Number of responses that were broken off by `CellFaults::cut`. */
  std::uint64_t Cuts() const { return cuts_; }
  std::uint64_t RawResponses() const { return rawResponses_; }
  /** Number of results of other attempts that were given as inputs. */
  std::uint64_t ForeignInputs() const { return foreignInputs_; }
  /** Number of results that have not been released. */
  std::size_t Results() const { return results_.size(); }

private:
  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient);
  boost::asio::awaitable<bool> ServePlain(ClientConnection& aClient);
  boost::asio::awaitable<bool> ServeModel(ClientConnection& aClient);
  /** `aLast` is the last response to such a call on the connection. */
  boost::asio::awaitable<bool> ServePieces(ClientConnection& aClient,
                                           std::optional<EdgeResponse>& aLast);
  /** Waits for a time multiplied by the delay factor. */
  boost::asio::awaitable<void> Sleep(std::chrono::milliseconds aTime);
  EdgeResponse SealedResponse(const ClientConnection& aClient,
                              std::string aBody) const;
  EdgeResponse NotExecutedResponse(unsigned aStatus,
                                   const std::string& aAttempt = "") const;
  bool DrawFault(double aChance);
  /** Whether an arrival is turned away, for a rest that begins now or has
   * begun before. */
  bool IsTurnedAway(const CellArrival& aArrival);
  EdgeResponse RestResponse() const;
  /** Writes a response with the framing and the cut of the faults. */
  boost::asio::awaitable<bool> WriteFramed(ClientConnection& aClient,
                                           const EdgeResponse& aResponse);
  boost::asio::awaitable<bool> WriteRaw(ClientConnection& aClient,
                                        CellRawResponse aResponse);
  /** Adds the headers of all responses that the server makes itself. */
  void AddOwnHeaders(EdgeResponse& aResponse) const;
  /** Ends the connection within a response; a clean close of one without
   * length or chunks would look complete, so that it is reset. */
  void BreakOff(ClientConnection& aClient, bool aMayClose);
  void PublishEntry(const std::string& aState);
  void RecordExecution(const ClientConnection& aClient);

  boost::asio::io_context& loop_;
  CellStore& store_;
  std::vector<CellExecution>& executions_;
  const CellProcesses& processes_;
  Kind kind_;
  std::string id_;
  std::string service_;
  std::string address_;
  std::string registeredAddress_;
  std::string version_ = "v1";
  std::string zone_ = "z";
  std::chrono::milliseconds coldTime_{ 0 };
  void Listen();
  void ReturnAfterCrash();
  /** Runs a function on the loop after a time. */
  template<typename Function>
  void RunAfter(std::chrono::milliseconds aTime, Function aFunction);
  /** Ends because of a request that has begun to run in an incarnation. */
  boost::asio::awaitable<void> EndUnderRequest(std::uint64_t aIncarnation);
  /** Waits while the process is silent. */
  boost::asio::awaitable<void> AwaitLife();
  bool IsCrashedBy(const ClientConnection& aClient) const;
  /** Counts an input that is no result of the attempt. */
  void CheckInput(std::string_view aHandle, std::string_view aAttempt);
  bool HasCrashingPiece(const boost::json::value& aCall) const;

  /** The last one listens; those before keep the connections that they had. */
  std::vector<std::unique_ptr<EdgeListener>> listeners_;
  CellFaults faults_;
  CellCrash crash_;
  std::optional<std::string> limit_;
  bool isLeaving_ = false;
  std::optional<CellRest> rest_;
  std::vector<CellAskedRest> rests_;
  std::vector<CellArrival> arrivals_;
  std::vector<Instant> crashes_;
  bool isDown_ = false;
  bool isSilent_ = false;
  int renames_ = 0;
  std::mt19937_64 random_;
  std::uint64_t incarnation_; ///< Unix time of the start, in milliseconds.
  std::uint64_t seq_ = 0;
  std::uint32_t calls_ = 0;
  std::uint32_t maxConcurrentCalls_ = 0;
  std::uint64_t pieces_ = 0;
  std::uint64_t cuts_ = 0;
  std::uint64_t rawResponses_ = 0;
  std::uint64_t foreignInputs_ = 0;
  std::uint64_t lastResult_ = 0;
  std::map<std::string, std::string> results_; ///< Item id by result handle.
};

} // namespace gypsum::tests
