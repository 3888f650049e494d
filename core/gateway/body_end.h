#pragma once

#include <string_view>

namespace gypsum {

/** What marks the end of the body of a response. */
enum class BodyFraming
{
  Length,
  Chunks,
  ConnectionEnd,
};

/** How the backend server has ended the connection. */
enum class ConnectionEnd
{
  Open, ///< It has not, as far as was read.
  Closed,
  Reset,
};

/** How far a request has been written to its connection. */
enum class RequestWrite
{
  Pending,
  Written,
  Failed,
};

std::string_view NameOf(BodyFraming aFraming);
std::string_view NameOf(ConnectionEnd aEnd);
std::string_view NameOf(RequestWrite aWrite);

/** The end of a body, as the HTTP reader saw it. */
struct BodyEnd
{
  BodyFraming framing = BodyFraming::Length;
  RequestWrite write = RequestWrite::Pending;
};

enum class Completeness
{
  Complete,
  Incomplete,
  KnownAfterWrite, ///< Depends on how the write of the request ends.
};

/**
 * Whether a body is complete that the HTTP reader takes as ended.
 *
 * `core/gateway/stream_end` judges the events of a complete body.
 */
Completeness JudgeBody(const BodyEnd& aEnd);

} // namespace gypsum
