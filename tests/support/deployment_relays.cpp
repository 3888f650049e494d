#include "tests/support/deployment.h"
#include "tests/support/free_port.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace gypsum::tests {

RelayHost Deployment::StartRelay(const std::string& aName,
                                 const std::string& aTarget)
{
  RelayHost relay{ FreeAddress(), FreeAddress(), nullptr };
  relay.process = std::make_unique<ChildProcess>(
    GYPSUM_FAKES,
    std::vector<std::string>{
      "relay", relay.listenAddress, aTarget, relay.controlAddress },
    (folder_ / (aName + ".relay.log")).string());
  return relay;
}

void Deployment::StartRelays()
{
  for (const auto& replica : replicas_) {
    replica->peerRelay =
      StartRelay(replica->name + ".peer", replica->peerAddress);
    replica->backendRelay =
      StartRelay(replica->name + ".backend", replica->backendAddress);
  }
}

void Deployment::SetRelay(const RelayHost& aRelay,
                          const std::string& aMode) const
{
  if (Get(aRelay.controlAddress, "/control/set?mode=" + aMode) != aMode) {
    throw std::runtime_error("the relay did not accept mode " + aMode);
  }
}

} // namespace gypsum::tests
