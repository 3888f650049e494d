#pragma once

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace gypsum::tests {

/** Content of a file; tests run in the root of the source tree. */
inline std::string ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    throw std::runtime_error("cannot read " + aPath);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace gypsum::tests
