#include "core/hash.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace gypsum {

std::uint64_t Checksum(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

std::string LongChecksum(std::span<const std::string_view> aFields)
{
  std::string digests;
  for (const std::string_view field : aFields) {
    const XXH128_hash_t hash = XXH3_128bits(field.data(), field.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    digests.append(std::begin(canonical.digest), std::end(canonical.digest));
  }
  const XXH128_hash_t hash = XXH3_128bits(digests.data(), digests.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

std::uint64_t RendezvousWeight(std::uint64_t aKeyHash, std::string_view aMember)
{
  return XXH3_64bits_withSeed(aMember.data(), aMember.size(), aKeyHash);
}

double WeightedScore(std::uint64_t aKeyHash,
                     std::string_view aMember,
                     double aProcessorShare)
{
  constexpr double kShareExponent = 3.0;
  constexpr double kMinShare = 0.01;
  constexpr double kScale = 18'446'744'073'709'551'616.0; // 2^64
  const double unit =
    (static_cast<double>(RendezvousWeight(aKeyHash, aMember)) + 1.0) / kScale;
  return -std::pow(std::max(kMinShare, aProcessorShare), kShareExponent) /
         std::log(std::min(unit, 0.999'999));
}

} // namespace gypsum
