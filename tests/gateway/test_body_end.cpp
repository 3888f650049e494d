#include "core/gateway/body_end.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

TEST_CASE("[BodyEnd] a body whose framing marks its end is complete, however "
          "the write of its request ends")
{
  for (const RequestWrite write :
       { RequestWrite::Pending, RequestWrite::Written, RequestWrite::Failed }) {
    CHECK(JudgeBody({ BodyFraming::Length, write }) == Completeness::Complete);
    CHECK(JudgeBody({ BodyFraming::Chunks, write }) == Completeness::Complete);
  }
}

TEST_CASE("[BodyEnd] a body that ends with its connection is complete only "
          "once its request is written")
{
  const auto judge = [](RequestWrite aWrite) {
    return JudgeBody({ BodyFraming::ConnectionEnd, aWrite });
  };
  CHECK(judge(RequestWrite::Written) == Completeness::Complete);
  CHECK(judge(RequestWrite::Failed) == Completeness::Incomplete);
  CHECK(judge(RequestWrite::Pending) == Completeness::KnownAfterWrite);
}

} // namespace gypsum::tests
