#pragma once

#include <string>

namespace gypsum::tests {

/** A new UUIDv7 of the current time, as an idempotency key. */
std::string FreshKey();

} // namespace gypsum::tests
