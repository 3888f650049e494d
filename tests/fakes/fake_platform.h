#pragma once

#include "drivers/http/http_message.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace gypsum::fakes {

/**
 * The configuration service and VM list, as the platform offers them.
 *
 * Readers may only read and watch. The paths under `/control/` belong to the
 * test bench: they publish, make the service fail or count its calls.
 */
class FakePlatform
{
public:
  HttpReply Handle(const HttpRequest& aRequest);

private:
  HttpReply ReadManifest(const HttpRequest& aRequest);
  HttpReply ListVms();
  HttpReply Control(const HttpRequest& aRequest);

  std::mutex mutex_;
  std::condition_variable published_;
  std::uint64_t revision_ = 0;
  std::string manifest_;
  std::map<std::string, std::string> vms_; ///< Name to state.
  unsigned failStatus_ = 0; ///< Answer of every read while not zero.
  std::uint64_t calls_ = 0;
};

} // namespace gypsum::fakes
