#include "core/gateway/queue_ownership.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace gypsum {

namespace {

/** A queue of a large fleet takes a tenth of a core, which the smallest
 * machines lack. */
constexpr double kShareExponent = 3.0;
constexpr double kMinShare = 0.01;

double Score(std::uint64_t aKey, const OwnerCandidate& aCandidate)
{
  constexpr double kScale = 18'446'744'073'709'551'616.0; // 2^64
  const double unit =
    (static_cast<double>(RendezvousWeight(aKey, aCandidate.address)) + 1.0) /
    kScale;
  return -std::pow(std::max(kMinShare, aCandidate.processorShare),
                   kShareExponent) /
         std::log(std::min(unit, 0.999'999));
}

} // namespace

std::string_view ChooseOwner(std::uint64_t aKey,
                             std::span<const OwnerCandidate> aCandidates)
{
  std::string_view owner;
  double best = 0.0;
  for (const OwnerCandidate& candidate : aCandidates) {
    const double score = Score(aKey, candidate);
    if (owner.empty() || score > best) {
      best = score;
      owner = candidate.address;
    }
  }
  return owner;
}

} // namespace gypsum
