#pragma once

#include "core/configuration/manifest.h"
#include "core/error_kind.h"
#include "core/log_line.h"
#include "core/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** Request of a caller, validated at the HTTP level only. */
struct CallerRequest
{
  std::uint64_t call = 0; ///< Identifies the waiting caller within the process.
  RequestId id;           ///< Its key may be empty.
  std::string pipeline;
  std::string body;
  Duration deadline{};         ///< Caps the pipeline's deadline; zero for none.
  bool isFirstAttempt = false; ///< The caller has not used the key before.
};

/** A message received from a peer. */
struct EntryMessage
{
  PeerMessage message;
};

/** The process adopted a manifest. */
struct EntryManifestAdopted
{
  ManifestPtr manifest;
};

/** The platform updated its list of leaving VMs. */
struct EntryLeavingListUpdated
{
  std::vector<std::string> replicas;
};

/** The process was requested to stop. */
struct EntryStopRequested
{};

/** Periodic event that drives hellos and timeouts. */
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
  std::string text; ///< Detail of a refusal or failure.
  /** Outcome of the non-repeatable stages; nothing if there are none. */
  std::optional<Outcome> effect{};
};

/** Sends the final answer to a caller. */
struct AnswerCaller
{
  std::uint64_t call = 0;
  RequestId id;
  std::string pipeline;
  Duration elapsed{};
  Answer answer;
};

/** An agent replied to an outstanding attempt. */
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

/** All requests are answered; the process may exit. */
struct EntryDrained
{};

using EntryEffect =
  std::variant<AnswerCaller, StageReplied, SendTo, EntryDrained, LogLine>;
using EntryEffects = std::vector<EntryEffect>;

} // namespace gypsum
