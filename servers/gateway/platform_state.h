#pragma once

#include "core/gateway/backend_registry.h"
#include "servers/gateway/gateway_state.h"

#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Adopts configuration and registry, whoever they come from, and logs it.
 *
 * A version only ever grows in one process.
 */
class PlatformState
{
public:
  explicit PlatformState(GatewayState& aState)
    : state_(aState)
  {
  }

  std::uint64_t Version() const;
  /** False if the text is not usable; an older one is ignored. */
  bool AdoptConfiguration(const std::string& aText, std::string_view aSource);
  void ApplyBackends(std::span<const RegistryChange> aChanges,
                     std::string_view aSource);
  void ReplaceBackends(const RegistrySnapshot& aList, std::string_view aSource);
  void OnStoreAnswered();
  void OnStoreFailed(std::string_view aWhat);
  bool IsStoreAway() const { return failures_ > 0; }
  /** Drops what has not come back; call it some times a second. */
  void Expire();

private:
  void Tell(std::span<const RegistryEvent> aNews, std::string_view aSource);

  GatewayState& state_;
  std::uint32_t failures_ = 0;
  Instant failingSince_{};
};

} // namespace gypsum
