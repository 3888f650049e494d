#pragma once

#include "core/agent/agent_events.h"
#include "core/identity.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace gypsum {

/** Entries that sent a Hello recently; they are notified of a leaving agent. */
class KnownEntries
{
public:
  struct Entry
  {
    Incarnation incarnation = 0;
    Route route;
  };

  void Update(const Route& aRoute, Incarnation aIncarnation, Instant aNow);
  /** Removes entries that have not sent a Hello for the retention period. */
  void Expire(Instant aNow);
  std::vector<Entry> All() const;
  std::size_t Size() const { return entries_.size(); }

private:
  /** Last Hello of an entry. */
  struct Contact
  {
    Route route;
    Instant lastContact{};
  };

  std::map<Incarnation, Contact> entries_;
};

} // namespace gypsum
