#pragma once

#include "drivers/http/http_message.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace gypsum::fakes {

/**
 * A fake model engine or plain service that counts its executions by key.
 *
 * An execution responds with `OPERATION(INPUT)`. The paths under `/control/`
 * set a delay, failures or a freeze, and report the counts, which tests use to
 * check that a key was executed at most once.
 */
class FakeBackend
{
public:
  HttpReply Handle(const HttpRequest& aRequest);

private:
  HttpReply Execute(const HttpRequest& aRequest);
  HttpReply Control(const HttpRequest& aRequest);

  std::mutex mutex_;
  std::condition_variable unfrozen_;
  std::map<std::string, std::uint64_t> executions_;
  std::uint64_t delayMs_ = 0;
  std::uint64_t delayUsPerInputByte_ = 0;
  std::uint64_t networkDelayUs_ = 0; ///< One-way delay between zones.
  std::uint64_t failuresLeft_ = 0;
  bool isFrozen_ = false;
};

} // namespace gypsum::fakes
