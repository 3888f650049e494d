#pragma once

#include "core/error_kind.h"
#include "core/gateway/gateway_messages.h"
#include "core/identity.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** What every message between processes names besides its body. */
struct PeerHeader
{
  ProcessId sender;
  Incarnation target =
    0; ///< Zero: not known yet; see `docs/design/membership.md`.
  Revision revision = 0; ///< Of the manifest the sender has in force.
};

/** Asks a peer who it is; answered by a `Report`. */
struct Hello
{
  bool isListedLeaving = false; ///< The sender knows the peer as leaving.
};

/** What an agent says of itself and its backend server. */
struct Report
{
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t concurrency = 0;
  bool isLeaving = false;
  Duration meanService{}; ///< Smoothed time of one call; zero if none yet.
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
  std::uint32_t weight = 1; ///< Of the customer.
  Duration budget{};        ///< What remains until the deadline, at sending.
  std::uint64_t requestHash = 0; ///< Of pipeline and body, to find conflicts.
  std::uint64_t checksum = 0;    ///< Of `input`.
  std::string input;
};

/** What became of one stage. */
struct StageReply
{
  StageId id;
  Outcome outcome = Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  Duration retryAfter{};
  Duration serviceTime{};     ///< Spent at the backend server.
  Duration queueTime{};       ///< Spent waiting in the agent.
  std::uint64_t checksum = 0; ///< Of `output`.
  std::string output;
  Report load; ///< As the agent stands after this stage.
};

/** Asks an agent to drop a stage; answered by a `StageReply`. */
struct Cancel
{
  StageId id;
};

/** Asks a peer for the manifest it has in force. */
struct ManifestRequest
{};

/** The text of the manifest in force, empty if none is. */
struct ManifestReply
{
  std::string text;
};

/** Where a part of a release ended. */
struct RecordCursor
{
  RequestId request;
  std::uint32_t stage = 0;

  auto operator<=>(const RecordCursor&) const = default;
};

/** One execution record on its way to the new owner of its key. */
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

/** The new owner of keys asks a former one to give them up. */
struct ReleaseRequest
{
  Slot newOwner;
  Slot formerOwner;
  Revision revision = 0;             ///< That moved the keys.
  std::optional<RecordCursor> after; ///< Nothing for the first part.
};

/** The former owner will not run the keys any more; a part of its records. */
struct ReleaseReply
{
  Slot released;
  Revision revision = 0;
  std::optional<RecordCursor> after; ///< As asked.
  bool isLast = false;
  WallTime forgottenUntil{}; ///< Key time up to which it lost its records.
  Duration plainKeysWait{};  ///< The same for keys without a time.
  std::vector<RecordCopy> records;
};

/** A replica that the platform lists as leaving. */
struct LeavingReplica
{
  std::string name;
  Duration remaining{}; ///< Until this word lapses unless it is renewed.
};

/** What processes tell one another of the fleet, beside their revision. */
struct FleetUpdate
{
  std::uint32_t round = 0;      ///< Of the exchange; zero opens it.
  std::string zone;             ///< Of the sender.
  Duration readerAge{};         ///< Since a reader of the zone last read.
  std::uint32_t readerRank = 0; ///< Of that reader.
  std::uint64_t digest = 0;     ///< Of the names the sender knows as leaving.
  std::vector<LeavingReplica> leaving; ///< May be left out in round zero.
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
                              PromptSent>;

/** One message between two processes. */
struct PeerMessage
{
  PeerHeader header;
  PeerBody body;
};

/** Sends a message to the peer at an address. */
struct SendTo
{
  std::string address;
  PeerMessage message;
};

} // namespace gypsum
