#include "kernel/signal_block.h"

#include <algorithm>
#include <array>

namespace gypsum {

namespace {

/** Raised by a fault of the thread itself; blocking them is undefined. */
constexpr std::array kFaultSignals{ SIGSEGV, SIGBUS,  SIGFPE, SIGILL,
                                    SIGABRT, SIGTRAP, SIGSYS };

} // namespace

sigset_t BlockSignals()
{
  sigset_t signals;
  sigfillset(&signals);
  std::ranges::for_each(kFaultSignals,
                        [&](int aSignal) { sigdelset(&signals, aSignal); });
  sigset_t former;
  pthread_sigmask(SIG_BLOCK, &signals, &former);
  return former;
}

void SetSignalMask(const sigset_t& aMask)
{
  pthread_sigmask(SIG_SETMASK, &aMask, nullptr);
}

} // namespace gypsum
