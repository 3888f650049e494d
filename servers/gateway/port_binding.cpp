#include "servers/gateway/port_binding.h"

#include <algorithm>
#include <utility>

namespace gypsum {

void PortBinding::Add(ListeningPort aPort)
{
  entries_.push_back({ std::move(aPort) });
}

bool PortBinding::TryAll()
{
  failed_ = nullptr;
  const auto advanceAll = [this](PortState aTo) {
    return std::ranges::all_of(
      entries_, [&](Entry& aEntry) { return Advance(aEntry, aTo); });
  };
  return advanceAll(PortState::Bound) && advanceAll(PortState::Listening);
}

bool PortBinding::Advance(Entry& aEntry, PortState aTo)
{
  if (aEntry.state >= aTo) {
    return true;
  }
  const ListeningPort& port = aEntry.port;
  error_ = aTo == PortState::Bound ? port.bind() : port.listen();
  if (!error_) {
    aEntry.state = aTo;
    return true;
  }
  aEntry.state = PortState::Unbound;
  failed_ = &aEntry;
  LogHeld(aEntry);
  return false;
}

void PortBinding::LogHeld(Entry& aEntry)
{
  if (std::exchange(aEntry.isFailureLogged, true)) {
    return;
  }
  log_.Write(LogClass::StateChange,
             "port-held",
             { { "port", aEntry.port.name },
               { "address", aEntry.port.address },
               { "reason", error_.message() } });
}

bool PortBinding::MayRetry() const
{
  // An address that isn't there yet belongs to an interface that starts.
  return error_ == std::errc::address_in_use ||
         error_ == std::errc::address_not_available;
}

void PortBinding::LogFailure() const
{
  if (!failed_) {
    return;
  }
  log_.Write(LogClass::StateChange,
             "start-failed",
             { { "port", failed_->port.name },
               { "address", failed_->port.address },
               { "reason", error_.message() } });
}

} // namespace gypsum
