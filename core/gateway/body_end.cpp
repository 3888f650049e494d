#include "core/gateway/body_end.h"

#include <array>
#include <cstddef>

namespace gypsum {

std::string_view NameOf(BodyFraming aFraming)
{
  constexpr std::array<std::string_view, 3> kNames{ "length",
                                                    "chunks",
                                                    "connection-end" };
  return kNames[static_cast<std::size_t>(aFraming)];
}

std::string_view NameOf(ConnectionEnd aEnd)
{
  constexpr std::array<std::string_view, 3> kNames{ "open", "closed", "reset" };
  return kNames[static_cast<std::size_t>(aEnd)];
}

std::string_view NameOf(RequestWrite aWrite)
{
  constexpr std::array<std::string_view, 3> kNames{ "pending",
                                                    "written",
                                                    "failed" };
  return kNames[static_cast<std::size_t>(aWrite)];
}

Completeness JudgeBody(const BodyEnd& aEnd)
{
  if (aEnd.framing != BodyFraming::ConnectionEnd) {
    return Completeness::Complete;
  }
  // A socket reports its error once. If the pending write gets it, the read
  // sees a proper end of the connection.
  switch (aEnd.write) {
    case RequestWrite::Written:
      return Completeness::Complete;
    case RequestWrite::Failed:
      return Completeness::Incomplete;
    default:
      return Completeness::KnownAfterWrite;
  }
}

} // namespace gypsum
