#pragma once

#include "review/stand_ins_2/net.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <sys/types.h>

#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/** Exit codes of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/** What was sent, answered and run, a line each, in `record.txt`. */
class Record
{
public:
  explicit Record(const std::string& aFolder);
  void Write(std::string_view aLine);
  /** Milliseconds since the start. */
  long Elapsed() const;

private:
  std::chrono::steady_clock::time_point begin_ =
    std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

/** Stands in for the platform: its store, and the machines of gateways, which
 * have the addresses 127.0.0.1, 127.0.0.2 and so on. */
class Platform
{
public:
  explicit Platform(Record& aRecord, unsigned aGateways = 1);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /** Writes an item; its return is the acknowledgement. */
  void Put(const std::string& aKey, const boost::json::object& aValue);
  /** The entry of a replica that is ready. */
  void Register(const std::string& aId,
                const std::string& aService,
                const std::string& aAddress,
                int aSlots);
  /** Starts all gateways; false if one is not ready within some seconds. */
  bool Start();
  /** Starts `target/gypsumstream gateway`, as the deploy file says. */
  void StartGateway(unsigned aHost);
  bool IsReady(unsigned aHost) const;
  /** Ends the gateway as the platform ends a process over its memory. */
  void KillGateway(unsigned aHost);
  void Signal(unsigned aHost, int aSignal) const;
  bool IsRunning(unsigned aHost);
  /** Resident memory of the gateway, in MB. */
  long ResidentMegabytes(unsigned aHost) const;
  int ClientPort() const { return clientPort_; }

private:
  struct Item
  {
    std::string value;
    int revision = 0;
  };

  void ServeStore(Socket& aConnection);
  std::string Respond(const std::string& aTarget);
  /** The items of a prefix that were written after a revision. */
  boost::json::array ItemsSince(const std::string& aPrefix, int aRevision);
  std::string SettingsOf(unsigned aHost) const;
  bool WaitUntilReady(unsigned aHost);

  Record& record_;
  std::string folder_;
  std::mutex mutex_; ///< Of the items and the revision.
  std::map<std::string, Item> items_;
  int revision_ = 100;
  std::unique_ptr<Server> store_;
  int clientPort_ = 0;
  int readyPort_ = 0;
  int controlPort_ = 0;
  int metricsPort_ = 0;
  int peerPort_ = 0;
  std::map<unsigned, pid_t> gateways_; ///< By host; -1 if none runs.
};

/** The head of a response with a body of known length. */
std::string ResponseOf(std::string_view aStatus,
                       std::string_view aFields,
                       std::string_view aBody);

/** A request of the tenant with a body; `aFields` ends with a line end. */
std::string RequestOf(std::string_view aTarget,
                      std::string_view aAttempt,
                      Milliseconds aDeadline,
                      std::string_view aFields,
                      std::string_view aBody);

/** The head of such a request, with a body of that length. */
std::string RequestHeadOf(std::string_view aTarget,
                          std::string_view aAttempt,
                          Milliseconds aDeadline,
                          std::string_view aFields,
                          std::size_t aBodyBytes);

/** The answer of a replica to a request for its report; empty if it is another
 * request. */
std::optional<std::string> ReportFor(const Message& aRequest);

/** What a replica that has run an attempt says in the head of its answer. */
std::string FieldsOfRun(std::string_view aAttempt);

/** Whether the disruption is switched on: `TROUBLE` is not 0. */
bool HasTrouble();

/** The folder of the case, whose name is the first argument. */
std::string FolderOf(int aCount, char** aArguments);

/** A key of the tenant `tenant-1` that all configurations here have. */
inline constexpr std::string_view kKey = "key0123456789abcdef0";

/** Limits and tenants, as the examples of the platform have them. */
void AddCommon(boost::json::object& aConfiguration);

} // namespace review
