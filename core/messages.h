#pragma once

#include "core/error_kind.h"
#include "core/gateway/gateway_messages.h"
#include "core/identity.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum {

/** Header of every message between processes. */
struct PeerHeader
{
  ProcessId sender;
  /** Incarnation of the receiver; zero if not yet known, see
   * `docs/design/membership.md`. */
  Incarnation target = 0;
  Revision revision = 0; ///< Active manifest revision of the sender.
};

/** Requests the identity of a peer, which replies with a `Report`. */
struct Hello
{
  bool isListedLeaving = false; ///< The sender has the peer listed as leaving.
};

/** Load and state of an agent and its backend server. */
struct Report
{
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t concurrency = 0;
  bool isLeaving = false;
  Duration meanService{}; ///< Smoothed call duration; zero before any call.
};

/** One stage for an agent to run. */
struct StageRequest
{
  StageId id;
  std::string pipeline;
  std::string service;
  std::string operation;
  bool isRepeatable = true;
  std::uint32_t priority = 0;
  std::uint32_t weight = 1; ///< Weight of the customer in fair queueing.
  Duration budget{}; ///< Time until the deadline when the message is sent.
  /** Hash of pipeline and body; detects a key that is reused for another
   * request. */
  std::uint64_t requestHash = 0;
  std::uint64_t checksum = 0; ///< Checksum of `input`.
  std::string input;
};

/** Result of one stage. */
struct StageReply
{
  StageId id;
  Outcome outcome = Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  Duration retryAfter{};
  Duration serviceTime{};     ///< Time spent at the backend server.
  Duration queueTime{};       ///< Time spent in the queue of the agent.
  std::uint64_t checksum = 0; ///< Checksum of `output`.
  std::string output;
  Report load; ///< Load of the agent after this stage.
};

/** Cancels a stage at an agent, which replies with a `StageReply`. */
struct Cancel
{
  StageId id;
};

/** Requests the active manifest of a peer. */
struct ManifestRequest
{};

/** Text of the active manifest; empty if there is none. */
struct ManifestReply
{
  std::string text;
};

/** Position of the last record in one chunk of a release. */
struct RecordCursor
{
  RequestId request;
  std::uint32_t stage = 0;

  auto operator<=>(const RecordCursor&) const = default;
};

/** One execution record, as sent to the new owner of its key. */
struct RecordCopy
{
  RecordCursor key;
  std::uint64_t requestHash = 0;
  StageReply reply;
};

inline RecordCursor CursorOf(const RecordCopy& aRecord)
{
  return aRecord.key;
}

/** Requests a former owner to release its keys to the new owner. */
struct ReleaseRequest
{
  Slot newOwner;
  Slot formerOwner;
  Revision revision = 0;             ///< Manifest revision that moved the keys.
  std::optional<RecordCursor> after; ///< Empty in the first request.
};

/**
 * One chunk of the records of a former owner.
 *
 * The former owner no longer runs requests with the released keys.
 */
struct ReleaseReply
{
  Slot released;
  Revision revision = 0;
  std::optional<RecordCursor> after; ///< Copied from the request.
  bool isLast = false;
  /** The former owner has lost its records of keys with a timestamp up to
   * this one. */
  WallTime forgottenUntil{};
  /** Remaining time in which keys without a timestamp may have lost records. */
  Duration plainKeysWait{};
  std::vector<RecordCopy> records;
};

/** A replica whose VM the platform lists as leaving. */
struct LeavingReplica
{
  std::string name;
  Duration remaining{}; ///< Time until this entry expires unless renewed.
};

/** State of the fleet that processes exchange, besides their revision. */
struct FleetUpdate
{
  std::uint32_t round = 0; ///< Round of the exchange, starting at zero.
  std::string zone;        ///< Availability zone of the sender.
  /** Time since a reader of the zone last read from the platform. */
  Duration readerAge{};
  std::uint32_t readerRank = 0; ///< Rank of that reader in its zone.
  std::uint64_t digest = 0; ///< Digest of the leaving replicas that are known.
  std::vector<LeavingReplica> leaving; ///< May be omitted in round zero.
};

using PeerBody = std::variant<Hello,
                              Report,
                              StageRequest,
                              StageReply,
                              Cancel,
                              ManifestRequest,
                              ManifestReply,
                              FleetUpdate,
                              ReleaseRequest,
                              ReleaseReply,
                              GatewayStatus,
                              RegistryRequest,
                              RegistryReply,
                              PieceRequest,
                              PieceAccepted,
                              PieceReply,
                              PieceCancel,
                              PieceFree,
                              PromptSent,
                              StreamOriginNotice,
                              StreamOriginRequest,
                              StreamOriginReply,
                              CrashReport,
                              CrashReportRequest,
                              TraitTrial,
                              LimitNotice,
                              LimitQuestion,
                              LimitAnswer,
                              LeavingNotice,
                              KnowledgeRequest,
                              KnowledgeReply>;

/** Kind of a message, for metrics and logs; a literal. */
std::string_view NameOf(const PeerBody& aBody);

/** A message between two processes. */
struct PeerMessage
{
  PeerHeader header;
  PeerBody body;
};

/** Effect: sends a message to the peer at an address. */
struct SendTo
{
  std::string address;
  PeerMessage message;
};

} // namespace gypsum
