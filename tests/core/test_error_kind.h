#pragma once

#include "core/error_kind.h"
#include "tests/support/document.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace gypsum::tests {

TEST_CASE("[ErrorKind] each kind has its row in docs/API.md with its answer")
{
  // Columns: kind, status, Retry-After, meaning.
  const auto rows = TableRows("docs/API.md");
  for (const ErrorResponse& rule : ErrorResponses()) {
    const std::string name(rule.name);
    CAPTURE(name);
    const auto row = rows.find(name);
    REQUIRE(row != rows.end());
    REQUIRE(row->second.size() == 4);
    CHECK(row->second[1] == std::to_string(rule.httpStatus));
    const auto retry =
      std::chrono::duration_cast<std::chrono::seconds>(rule.retryAfter).count();
    CHECK(row->second[2] == (retry == 0 ? "-" : std::to_string(retry)));
    CHECK_FALSE(row->second[3].empty());
  }
}

} // namespace gypsum::tests
