#pragma once

#include "core/admission/customer_usage.h"
#include "core/entry/request_run.h"
#include "core/membership/member_table.h"
#include "core/routing/router.h"

#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Refuses requests that are predicted to miss their deadline, before any stage
 * has run.
 *
 * The predicted finish is the sum over all stages of the estimated service time
 * and the expected wait at the replica that would be chosen. The wait is scaled
 * by the recent usage of the customer relative to its share, because agents
 * start stages of customers below their share first.
 */
class AdmissionControl
{
public:
  explicit AdmissionControl(Objective aObjective)
    : objective_(aObjective)
  {
  }

  /**
   * Predicts by how much a request would miss its deadline; zero admits it.
   *
   * Periodically admits a late request of a pipeline as a probe, to update the
   * estimated service times.
   */
  Duration CheckLateness(const RequestRun& aRun,
                         const MemberTable& aMembers,
                         Router& aRouter,
                         std::string_view aZone,
                         Instant aNow);

private:
  void RecordAdmitted(const RequestRun& aRun, Duration aWork, Instant aNow);

  Objective objective_;
  CustomerUsage usage_;
  /** Time of the last admission, by pipeline. */
  std::map<std::string, Instant, std::less<>> lastAdmitted_;
};

} // namespace gypsum
