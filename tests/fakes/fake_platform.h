#pragma once

#include "drivers/http/http_message.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace gypsum::fakes {

/**
 * A fake of the platform's configuration service and VM list.
 *
 * Processes under test read and watch the paths under `/v1/`. Tests use the
 * paths under `/control/` to publish a manifest, set the state of a VM, make
 * the service fail and read its call count.
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
  std::map<std::string, std::string> vms_; ///< State by name.
  unsigned failStatus_ = 0;                ///< Status of all reads unless zero.
  std::uint64_t calls_ = 0;
};

} // namespace gypsum::fakes
