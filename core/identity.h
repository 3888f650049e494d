#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace gypsum {

/** Random number that a process draws when it starts; zero means unknown. */
using Incarnation = std::uint64_t;

/** Revision of a manifest; only ever increases. */
using Revision = std::uint64_t;

/** Identifies a caller's request, whichever entry receives it. */
struct RequestId
{
  std::string customer;
  std::string key; ///< The caller's Idempotency-Key.

  auto operator<=>(const RequestId&) const = default;
};

/** One attempt at one stage of a request. */
struct StageId
{
  RequestId request;
  std::uint32_t stage = 0;   ///< Index in the pipeline.
  std::uint64_t attempt = 0; ///< Unique within the entry's incarnation.
  Incarnation entry = 0; ///< Incarnation of the entry that made the attempt.

  auto operator<=>(const StageId&) const = default;
};

/** Position of one agent in the fleet; a new address makes a new slot. */
struct Slot
{
  std::string name;
  std::string address;

  auto operator<=>(const Slot&) const = default;
};

/** Identifies one run of a process to its peers. */
struct ProcessId
{
  std::string name;
  Incarnation incarnation = 0;

  auto operator<=>(const ProcessId&) const = default;
};

/** Readable form for logs: `customer/key`. */
inline std::string ToText(const RequestId& aId)
{
  return aId.customer + "/" + aId.key;
}

/** Readable form for logs: `customer/key#stage.attempt`. */
inline std::string ToText(const StageId& aId)
{
  return ToText(aId.request) + "#" + std::to_string(aId.stage) + "." +
         std::to_string(aId.attempt);
}

} // namespace gypsum
