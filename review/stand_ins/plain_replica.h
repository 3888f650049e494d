#pragma once

#include "review/stand_ins/world.h"

#include <boost/json/object.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <string>

namespace review {

/** A replica that streams events, or runs what may not be repeated. */
class PlainReplica
{
public:
  PlainReplica(World& aWorld,
               int aMachine,
               const std::string& aId,
               const std::string& aService,
               bool aStreams);

  /** From now on it fails this share of its requests after it has run them. */
  void FailAfterRun(double aShare) { failingShare_ = aShare; }

private:
  void Serve(Connection& aConnection);
  static bool Stream(Connection& aConnection, const Headers& aHeaders);
  bool RunHold(Connection& aConnection, const Headers& aHeaders, bool aIsHead);

  World& world_;
  std::string id_;
  bool streams_;
  std::atomic<double> failingShare_ = 0.0;
  std::mutex mutex_;
  std::mt19937 random_;
  Server server_;
  Registration registration_;
};

/** A route of the host `desk.example`. */
boost::json::object MakeRoute(const std::string& aPrefix,
                              const std::string& aKind,
                              const std::string& aService,
                              Milliseconds aTimeout);
/** The limits of clients in a configuration. */
boost::json::object MakeLimits();
/** A tenant with one key. */
boost::json::object MakeTenant(const std::string& aName,
                               const std::string& aKey);
/** Text of a request to that host. */
std::string MakeRequest(const std::string& aPath,
                        const std::string& aAttempt,
                        const std::string& aKey,
                        Milliseconds aDeadline);

} // namespace review
