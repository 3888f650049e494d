#pragma once

#include <string>

namespace gypsum::tests {

/** A loopback address with a free port; a process never gets the same port
 * twice. */
std::string FreeAddress();

} // namespace gypsum::tests
