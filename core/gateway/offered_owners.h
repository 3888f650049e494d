#pragma once

#include <cstddef>
#include <string>

namespace gypsum {

/**
 * Decides which gateway computes a job after some owners of its queue were lost
 * with it.
 *
 * Of all gateways only the next owner takes over: calls from several queues
 * would find the servers full. A job that was lost with owners whose processes
 * have ended may be what ends them, and is offered to no other gateway.
 */
class OfferedOwners
{
public:
  /** Owners that do not answer, until a gateway computes a job itself. */
  static constexpr std::size_t kMaxSilent = 2;
  /** Owners that end with a job, until it is given up. */
  static constexpr std::size_t kMaxEnded = 2;

  enum class Next
  {
    Owner,
    OwnerAfterLast, ///< The owner if the last one were none.
    ThisGateway,
    None,
  };

  /** The owner has not answered, or has ended with the job. */
  void OnLost(std::string aOwner, bool aHasEnded);
  Next Choose() const;
  const std::string& Last() const { return last_; }

private:
  std::string last_;
  std::size_t lost_ = 0;
  std::size_t ended_ = 0;
};

} // namespace gypsum
