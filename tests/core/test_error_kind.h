#pragma once

#include "core/error_kind.h"
#include "tests/support/document.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace gypsum::tests {

TEST_CASE(
  "[ErrorKind] docs/API.md lists each kind with its status and Retry-After")
{
  // Columns: kind, status, Retry-After, meaning.
  const auto rows = TableRows("docs/API.md");
  for (const ErrorResponse& response : ErrorResponses()) {
    const std::string name(response.name);
    CAPTURE(name);
    const auto row = rows.find(name);
    REQUIRE(row != rows.end());
    REQUIRE(row->second.size() == 4);
    CHECK(row->second[1] == std::to_string(response.httpStatus));
    const auto retry =
      std::chrono::duration_cast<std::chrono::seconds>(response.retryAfter)
        .count();
    CHECK(row->second[2] == (retry == 0 ? "-" : std::to_string(retry)));
    CHECK_FALSE(row->second[3].empty());
  }
}

} // namespace gypsum::tests
