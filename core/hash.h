#pragma once

#include <cstdint>
#include <string_view>

namespace gypsum {

/** XXH3 hash of the bytes; equal on all machines and in all processes. */
std::uint64_t Checksum(std::string_view aBytes);

/**
 * Weight of a member for a key in rendezvous hashing.
 *
 * The member with the highest weight is chosen.
 */
std::uint64_t RendezvousWeight(std::uint64_t aKeyHash,
                               std::string_view aMember);

} // namespace gypsum
