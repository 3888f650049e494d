#pragma once

#include <boost/json/fwd.hpp>

#include <string>

namespace gypsum {

/** Formats a state tree as indented `name: value` lines. */
std::string DumpAsText(const boost::json::object& aState);

/** Formats a state tree as JSON. */
std::string DumpAsJson(const boost::json::object& aState);

} // namespace gypsum
