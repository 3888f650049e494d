#pragma once

#include "core/error_kind.h"

#include <cstdint>

namespace cxxtools::http {
class Request;
}

namespace gypsum {

/**
 * Validates the header of a request; returns the error, or `None`.
 *
 * cxxtools treats a body without a valid length as empty and parses its bytes
 * as the next request. Requests without an unambiguous end are therefore
 * refused. `BadRequest`: invalid or repeated `Content-Length`, a length
 * together with a transfer encoding, a repeated header that identifies the
 * request, or a path that is too long. `LengthRequired`: a body without a
 * length. `BodyTooLarge`: a body over the limit, in bytes.
 */
ErrorKind CheckHeader(const cxxtools::http::Request& aRequest,
                      std::uint64_t aMaxBodyBytes);

} // namespace gypsum
