#pragma once

#include "drivers/edge/backend_exchange.h"
#include "drivers/edge/client_connection.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum::tests {

/** Where and how a response is broken off. */
struct CellCut
{
  std::size_t byte = 0; ///< Number of response bytes that are sent.
  bool isReset = false; ///< Resets the connection instead of closing it.
};

/** Writes a response with a chosen framing, and may break it off at a byte. */
class CellResponseWriter
{
public:
  CellResponseWriter(ClientConnection& aClient,
                     BodyFraming aFraming,
                     std::optional<CellCut> aCut)
    : client_(aClient)
    , framing_(aFraming)
    , cut_(aCut)
  {
  }

  // Each function returns false once the connection has ended.
  boost::asio::awaitable<bool> WriteHead(const EdgeResponse& aHead,
                                         std::size_t aBodyBytes);
  boost::asio::awaitable<bool> WriteBody(std::string_view aPart);
  /** Ends the response; false if the connection can't be reused. */
  boost::asio::awaitable<bool> End();

  bool WasCut() const { return wasCut_; }

private:
  boost::asio::awaitable<bool> Write(std::string aBytes);

  ClientConnection& client_;
  BodyFraming framing_;
  std::optional<CellCut> cut_;
  std::size_t written_ = 0;
  bool wasCut_ = false;
};

} // namespace gypsum::tests
