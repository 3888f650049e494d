#pragma once

#include "core/replay/replay_record.h"

#include <ostream>
#include <span>
#include <string>

namespace gypsum {

/** A record with the name of the policy that was replayed. */
struct NamedRecord
{
  std::string policy;
  ReplayRecord record;
};

/** Plots the share of arrivals served in time per second of arrival, as SVG. */
void WriteSvg(std::ostream& aOut,
              const Trace& aTrace,
              std::span<const NamedRecord> aRecords);

} // namespace gypsum
