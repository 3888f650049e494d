#pragma once

#include "core/entry/entry_events.h"
#include "drivers/http/http_message.h"

#include <string_view>

namespace gypsum {

/** Converts an answer to HTTP, with the status of its error kind. */
HttpReply ToHttpReply(const Answer& aAnswer);

/** HTTP reply for a request that failed or was refused. */
HttpReply ToHttpReply(ErrorKind aError,
                      Outcome aOutcome,
                      std::string_view aText);

} // namespace gypsum
