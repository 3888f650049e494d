#pragma once

#include <csignal>

namespace gypsum {

/**
 * Blocks signals from outside in the calling thread, and so in all threads that
 * it starts later. Returns the former mask.
 *
 * A signal that is sent to the process interrupts any thread that does not
 * block it. Only the thread that handles signals may be interrupted: the system
 * calls of the others, those of libraries included, fail with EINTR otherwise.
 */
sigset_t BlockSignals();

/** Sets the mask of the calling thread; pending signals that it does not block
 * are delivered. */
void SetSignalMask(const sigset_t& aMask);

/** Blocks signals in the calling thread for its lifetime. */
class SignalBlock
{
public:
  SignalBlock()
    : former_(BlockSignals())
  {
  }
  ~SignalBlock() { SetSignalMask(former_); }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

private:
  sigset_t former_;
};

} // namespace gypsum
