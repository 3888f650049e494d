#include "drivers/http/http_server.h"
#include "tests/fakes/fake_backend.h"
#include "tests/fakes/fake_platform.h"
#include "tests/fakes/relay.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>
#include <span>
#include <string>

namespace {

constexpr unsigned kServerThreads = 400;
constexpr std::uint64_t kMaxBodyBytes = 67'108'864;

/** An HTTP server on one address for one fake. */
template<typename Fake>
struct FakeServer
{
  explicit FakeServer(const std::string& aAddress)
    : server({ aAddress, kServerThreads, kMaxBodyBytes },
             [this](const gypsum::HttpRequest& aRequest) {
               return fake.Handle(aRequest);
             })
  {
    server.Begin();
  }

  Fake fake;
  gypsum::HttpServer server;
};

/** Blocks SIGTERM and SIGINT in this thread and those it starts later. */
sigset_t BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

template<typename Fake>
int Serve(std::span<char*> aAddresses)
{
  const sigset_t signals = BlockStopSignals();
  std::list<FakeServer<Fake>> servers;
  for (const char* const address : aAddresses) {
    servers.emplace_back(address);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

int ServeRelay(std::span<char*> aAddresses)
{
  const sigset_t signals = BlockStopSignals();
  gypsum::fakes::Relay relay(aAddresses[0], aAddresses[1]);
  gypsum::HttpServer control({ aAddresses[2], kServerThreads, kMaxBodyBytes },
                             [&](const gypsum::HttpRequest& aRequest) {
                               return relay.Handle(aRequest);
                             });
  control.Begin();
  int signal = 0;
  sigwait(&signals, &signal);
  // Skips destructors, as detached relay threads still use the relay.
  std::_Exit(0);
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    std::cerr << "usage: gypsum_fakes platform|backend|backends IPv4:PORT...\n"
                 "       gypsum_fakes relay LISTEN TARGET CONTROL\n";
    return 2;
  }
  const std::string kind = aArguments[1];
  const auto addresses = std::span(aArguments, aCount).subspan(2);
  if (kind == "relay" && addresses.size() == 3) {
    return ServeRelay(addresses);
  }
  if (kind == "platform") {
    return Serve<gypsum::fakes::FakePlatform>(addresses.first(1));
  }
  if (kind == "backend") {
    return Serve<gypsum::fakes::FakeBackend>(addresses.first(1));
  }
  if (kind == "backends") {
    return Serve<gypsum::fakes::FakeBackend>(addresses);
  }
  std::cerr << "expected platform, backend or backends, got '" << kind << "'\n";
  return 2;
}
