#pragma once

#include "core/configuration/manifest.h"
#include "core/error_kind.h"
#include "core/messages.h"
#include "core/log_line.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** A caller's request, as far as HTTP can check it. */
struct CallerRequest
{
  std::uint64_t call = 0; ///< Names the waiting caller within the process.
  RequestId id;           ///< The key may be empty.
  std::string pipeline;
  std::string body;
  Duration deadline{};         ///< Shorter than the pipeline's, or zero.
  bool isFirstAttempt = false; ///< The caller never used the key before.
};

/** A message that came in from a peer. */
struct EntryMessage
{
  PeerMessage message;
};

struct EntryManifestAdopted
{
  ManifestPtr manifest;
};

/** The platform's list of VMs that leave. */
struct EntryLeavingListUpdated
{
  std::vector<std::string> replicas;
};

/** The process was asked to stop. */
struct EntryStopRequested
{};

/** Time has passed. */
struct EntryTick
{};

using EntryEvent = std::variant<CallerRequest,
                                EntryMessage,
                                EntryManifestAdopted,
                                EntryLeavingListUpdated,
                                EntryStopRequested,
                                EntryTick>;

/** The final answer to one caller. */
struct Answer
{
  Outcome outcome = Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  Duration retryAfter{};
  std::string body;
  std::string text; ///< Detail of a refusal.
  /** What became of the non-repeatable stages; nothing if there are none. */
  std::optional<Outcome> effect{};
};

struct AnswerCaller
{
  std::uint64_t call = 0;
  RequestId id;
  std::string pipeline;
  Duration elapsed{};
  Answer answer;
};

/** An agent replied to an attempt that was still wanted. */
struct StageReplied
{
  StageId id;
  std::string pipeline;
  std::string stage;
  std::string replica;
  Outcome outcome = Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  Duration queueTime{};
  Duration serviceTime{};
};

/** No request is left; the process may exit. */
struct EntryDrained
{};

using EntryEffect =
  std::variant<AnswerCaller, StageReplied, SendTo, EntryDrained, LogLine>;
using EntryEffects = std::vector<EntryEffect>;

} // namespace gypsum
