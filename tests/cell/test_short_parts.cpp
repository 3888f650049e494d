#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <sstream>
#include <string>

namespace gypsum::tests {

namespace {

/** Legal in size; some 1,900 parts of one token. */
constexpr std::size_t kPromptBytes = 15'000;
/** Their parts are more than the server's cache has tokens. */
constexpr int kPrompts = 120;
constexpr int kCacheTokens = 300'000;

/** A prompt of parts that no other one has. */
std::string MakePrompt(int aPrompt)
{
  std::ostringstream prompt;
  prompt << std::hex;
  for (int part = 0; prompt.tellp() < std::streamoff(kPromptBytes); ++part) {
    prompt << aPrompt << "f" << part << ":1,";
  }
  prompt << "f:1";
  return prompt.str();
}

} // namespace

// Guards against an event loop that searches all known parts for each one that
// it drops, at the gateway that got the prompts and at each that hears of them.
TEST_CASE("[ShortParts] gateways answer beside prompts of very many short "
          "parts, and after them")
{
  Cell cell{ CellSize{ 2, 1, 1, 1 } };
  cell.configuration.kvCapacityTokens = kCacheTokens;
  cell.Publish();
  REQUIRE(cell.Start());
  const auto checkAnswers = [&] {
    for (const CellGateway& gateway : cell.Gateways()) {
      const CellRequest request = cell.MakePlainRequest("/read/x");
      REQUIRE(
        IsServed(request, CellClient(gateway.clientAddress).Send(request)));
    }
  };
  CellClient client(cell.Gateways()[0].clientAddress);
  for (int prompt = 0; prompt < kPrompts; ++prompt) {
    CellRequest request = cell.MakeStreamRequest("/chat/x");
    request.prompt = MakePrompt(prompt);
    request.headers = { { "Token-Counts",
                          std::to_string(kPromptBytes) + ",40" } };
    REQUIRE(IsServed(request, client.Send(request)));
    if (prompt % 10 == 0) {
      checkAnswers();
    }
  }
  checkAnswers();
}

} // namespace gypsum::tests
