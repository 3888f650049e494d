#pragma once

#include "core/time.h"

#include <chrono>

namespace gypsum {

/** What a response says of the time for which its server wants no requests. */
struct RestStatement
{
  enum class Kind
  {
    None, ///< It asks for no rest.
    Rest,
    Unreadable, ///< It asks for rest, but for how long can't be read.
  };

  /** Longer rests are read as this one: nothing else would end them if the
   * server is wrong. */
  static constexpr Duration kMaxLength = std::chrono::minutes(10);

  Kind kind = Kind::None;
  Duration length{}; ///< Zero unless it is a rest.

  bool operator==(const RestStatement&) const = default;
};

} // namespace gypsum
