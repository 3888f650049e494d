#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/** Serializes a message with protobuf. */
std::string Encode(const PeerMessage& aMessage);

/** Parses a message; nothing if it is truncated or malformed. */
std::optional<PeerMessage> Decode(std::string_view aBytes);

} // namespace gypsum
