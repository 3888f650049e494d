#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gypsum::fakes {

/** Number after `name=` in a query; the default if absent or empty. */
std::uint64_t QueryNumber(std::string_view aQuery,
                          std::string_view aName,
                          std::uint64_t aDefault);
/** Text after `name=` in a query; empty if absent. */
std::string QueryText(std::string_view aQuery, std::string_view aName);

} // namespace gypsum::fakes
