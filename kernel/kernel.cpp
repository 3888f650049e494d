#include "kernel/kernel.h"

#include <boost/json/object.hpp>
#include <boost/range/adaptor/reversed.hpp>

#include <algorithm>

namespace gypsum {

void Kernel::Add(Slot aSlot)
{
  const bool isTaken =
    std::ranges::find(slots_, aSlot.name, &Slot::name) != slots_.end();
  if (isTaken) {
    throw KernelError("a service named " + aSlot.name +
                      " is already registered");
  }
  slots_.push_back(std::move(aSlot));
}

const Kernel::Slot& Kernel::FindSlot(std::string_view aName,
                                     std::type_index aType) const
{
  const auto slot = std::ranges::find(slots_, aName, &Slot::name);
  if (slot == slots_.end() || slot->type != aType) {
    throw KernelError("no service named " + std::string(aName) +
                      " of the expected type");
  }
  return *slot;
}

void Kernel::Start()
{
  for (const Slot& slot : slots_) {
    slot.start(*this);
  }
}

void Kernel::Stop()
{
  for (const Slot& slot : boost::adaptors::reverse(slots_)) {
    slot.stop();
  }
}

void Kernel::Describe(boost::json::object& aState) const
{
  for (const Slot& slot : slots_) {
    slot.describe(aState[slot.name].emplace_object());
  }
}

} // namespace gypsum
