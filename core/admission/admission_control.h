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
 * Refuses requests that would miss their deadline before anything has run.
 *
 * The predicted finish adds up the learned time of each stage and the work
 * that waits at the replica it would go to. The wait counts by the share that
 * the customer has lately used: agents start first what belongs to those
 * below their share.
 */
class AdmissionControl
{
public:
  explicit AdmissionControl(Objective aObjective)
    : objective_(aObjective)
  {
  }

  /**
   * How long a request must wait before it can be done in time; zero admits
   * it. Now and then a late one is admitted, to learn whether it still is.
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
  std::map<std::string, Instant, std::less<>> lastAdmitted_; ///< By pipeline.
};

} // namespace gypsum
