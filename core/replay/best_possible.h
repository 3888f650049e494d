#pragma once

#include "core/configuration/manifest.h"
#include "core/replay/trace.h"

#include <vector>

namespace gypsum {

/** Time that one request occupies an engine, without waiting for others. */
struct EngineWork
{
  double prefillMs = 0; ///< On the prefill unit, with the prefix cached.
  double slotMs = 0;    ///< In one slot of a full batch.
};

/** Returns the work of an arrival in all engine stages of its pipeline. */
EngineWork EngineWorkOf(const TraceArrival& aArrival,
                        const Manifest& aManifest);

/**
 * Returns how many requests could be served in time at best by the engines that
 * work.
 *
 * The reference is a fluid model: all engines form one server that always
 * works on the request with the earliest deadline and wastes no time. If the
 * accepted requests cannot all meet their deadlines, the largest is dropped. A
 * request is not counted if one of its stages may only run at a lost owner.
 */
std::size_t BestPossibleCount(const Trace& aTrace, const Manifest& aManifest);

} // namespace gypsum
