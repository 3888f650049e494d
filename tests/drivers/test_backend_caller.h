#pragma once

#include "drivers/backend/backend_caller.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_socket.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>

namespace gypsum::tests {

/** Backend caller with a scripted backend server. */
class BackendCallerFixture
{
protected:
  BackendCallerFixture()
    : caller_(address_)
  {
    caller_.SetHandler([this](BackendReturned aReturned) {
      resultPromise_.set_value(std::move(aReturned.result));
    });
  }

  void Call(std::chrono::milliseconds aTimeout = std::chrono::seconds(20))
  {
    caller_.Call(
      { 1, "/confirm", { "atelier", "key-1" }, "hold", aTimeout, false });
  }

  BackendResult Result() { return resultPromise_.get_future().get(); }

  const std::string address_ = FreeAddress();
  RawListener listener_{ address_ };
  std::promise<BackendResult> resultPromise_;
  BackendCaller caller_;
};

TEST_CASE_FIXTURE(BackendCallerFixture,
                  "[BackendCaller] aborting a call frees its thread while the "
                  "backend server hangs")
{
  Call();
  const RawSocket server = listener_.Accept();
  server.ReadMessage();
  caller_.Abort(1);
  const BackendResult result = Result();
  CHECK(result.wasSent);
  CHECK(result.httpStatus == 0);
  CHECK(server.ReadToEnd() == "");
}

TEST_CASE_FIXTURE(BackendCallerFixture,
                  "[BackendCaller] a reply with another idempotency key is "
                  "discarded")
{
  Call();
  const RawSocket server = listener_.Accept();
  server.ReadMessage();
  server.Send("HTTP/1.1 200 OK\r\nIdempotency-Key: key-2\r\n"
              "Content-Length: 2\r\n\r\nno");
  const BackendResult result = Result();
  CHECK(result.wasSent);
  CHECK(result.httpStatus == 0);
  CHECK(result.body.empty());
}

TEST_CASE_FIXTURE(BackendCallerFixture,
                  "[BackendCaller] a call with an expired deadline is not sent")
{
  Call(std::chrono::milliseconds(0));
  CHECK_FALSE(Result().wasSent);
  CHECK_FALSE(listener_.HasConnection(std::chrono::milliseconds(100)));
}

} // namespace gypsum::tests
