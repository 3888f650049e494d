#pragma once

#include "core/gateway/backend_registry.h"
#include "core/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

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

/**
 * The rests that backend servers have asked of this gateway.
 *
 * A rest belongs to one incarnation and one gateway: peers don't hear of it,
 * since a server that turns one gateway away may have room for the others. The
 * latest end counts; neither a shorter rest, nor another response, nor the
 * store takes it back.
 *
 * A server that has restarted under its id may respond before the registry
 * lists its new incarnation. A rest therefore also binds a later incarnation
 * that had started when it was asked for.
 */
class BackendRests
{
public:
  /** Length of a rest whose length can't be read. */
  static constexpr Duration kUnreadableLength = std::chrono::seconds(1);
  /** After a rest, requests return in steps: one in each gap, for this time. */
  static constexpr Duration kReturnTime = std::chrono::milliseconds(500);
  static constexpr Duration kReturnGap = std::chrono::milliseconds(50);
  /** Gateways that were asked at the same moment return spread over this time,
   * or over a quarter of a shorter rest. */
  static constexpr Duration kMaxReturnSpread = std::chrono::milliseconds(200);
  /** Most that the wall clocks of servers and gateways differ. */
  static constexpr std::chrono::milliseconds kClockTolerance{ 500 };

  /** True if the rest now lasts longer than was known. `aSpread` is a random
   * number from 0 to 1. */
  bool OnStatement(const BackendRecord& aBackend,
                   const RestStatement& aStatement,
                   const ClockReading& aNow,
                   double aSpread);
  /** A request is sent to the server. */
  void OnSent(const BackendRecord& aBackend, Instant aNow);
  /** End of the rest; a time that has passed if there is none. */
  Instant RestsUntil(const BackendRecord& aBackend) const;
  /** When the next step after a rest begins; a time that has passed if there is
   * none to wait for. */
  Instant NextStepAt(const BackendRecord& aBackend) const;
  bool IsEmpty() const { return rests_.empty(); }
  void Expire(Instant aNow);

private:
  using Incarnation = std::pair<std::string, std::uint64_t>;

  struct Rest
  {
    Instant until{};
    std::uint64_t askedMs = 0; ///< Unix time, with the tolerance of clocks.
    Instant lastSentAt{};      ///< After its end.
  };

  /** Whether a rest binds an incarnation. */
  static bool Binds(const std::pair<const Incarnation, Rest>& aRest,
                    const BackendRecord& aBackend);
  /** Calls the function with each rest that binds a server. */
  template<typename Rests, typename Function>
  static void ForEach(Rests& aRests,
                      const BackendRecord& aBackend,
                      Function aFunction);

  std::map<Incarnation, Rest> rests_; ///< By the incarnation that was listed.
};

} // namespace gypsum
