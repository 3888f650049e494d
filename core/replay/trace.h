#pragma once

#include "core/configuration/fault.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum {

/** A request of a caller. */
struct TraceArrival
{
  Duration at{}; ///< Since the start of the trace.
  std::string customer;
  std::string pipeline;
  std::uint32_t inputBytes = 0;
  std::uint32_t outputTokens = 0;
  std::uint32_t prefix = 0; ///< Requests with the same number share a prefix.
};

/** Kinds of fault events in a trace. */
enum class TraceFaultKind
{
  Slow,     ///< The backend server is slower by the factor `value`.
  Failing,  ///< The backend server fails every call immediately.
  Dead,     ///< The VM is permanently lost with all its state.
  Frozen,   ///< The VM makes no progress until `Healthy`.
  Healthy,  ///< Ends `Slow`, `Failing`, `Frozen` and `Mute`.
  Mute,     ///< Load reports are lost; replies still arrive.
  Lag,      ///< Load reports of all replicas are delayed by `value` ms.
  ZoneLost, ///< All VMs of the availability zone are permanently lost.
};

/** A fault event. */
struct TraceFault
{
  Duration at{};
  TraceFaultKind kind = TraceFaultKind::Healthy;
  std::string target; ///< Replica or availability zone; empty for `Lag`.
  std::uint32_t value = 0;
};

/** A bound that a figure of the report must meet. */
struct TraceExpectation
{
  std::string figure;
  bool isAtLeast = true;
  double bound = 0;
};

/** Requests and faults to replay, with the expected figures of the report. */
struct Trace
{
  std::string manifest;      ///< File name, in the folder of the trace.
  std::uint32_t entries = 1; ///< Number of entries.
  std::uint64_t seed = 1;
  std::vector<TraceExpectation> expectations;
  std::vector<TraceArrival> arrivals; ///< In chronological order.
  std::vector<TraceFault> faults;     ///< In chronological order.
};

/** Parses a trace; returns all errors with their lines if it is malformed. */
std::variant<Trace, Faults> ParseTrace(std::string_view aText);

/** Formats a trace as text, one event per line in chronological order. */
std::string ToText(const Trace& aTrace);

/** Returns the name of a fault kind in the text format. */
std::string_view NameOf(TraceFaultKind aKind);

} // namespace gypsum
