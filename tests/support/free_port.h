#pragma once

#include <string>

namespace gypsum::tests {

/** A loopback address with a free port; each process returns a port once. */
std::string FreeAddress();

} // namespace gypsum::tests
