#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/** XXH3 hash of the bytes; equal on all machines and in all processes. */
std::uint64_t Checksum(std::string_view aBytes);

/** XXH3 hash of 128 bits over a list of fields, as 32 hexadecimal digits. Lists
 * with other borders between their fields have other hashes. */
std::string LongChecksum(std::span<const std::string_view> aFields);

/**
 * Weight of a member for a key in rendezvous hashing.
 *
 * The member with the highest weight is chosen.
 */
std::uint64_t RendezvousWeight(std::uint64_t aKeyHash,
                               std::string_view aMember);

/**
 * The same for members of unequal size: each is chosen as often as the cube of
 * its processor share says, since a duty may be more than a small one can bear.
 */
double WeightedScore(std::uint64_t aKeyHash,
                     std::string_view aMember,
                     double aProcessorShare);

} // namespace gypsum
