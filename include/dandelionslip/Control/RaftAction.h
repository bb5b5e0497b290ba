// Actions that RaftCore asks its runtime to carry out.
#pragma once

#include "dandelionslip/Control/HardState.h"
#include "dandelionslip/Control/RaftMessage.h"
#include "dandelionslip/Control/Snapshot.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionslip {

enum class RaftRole
{
  Follower, ///< Also the role of a learner.
  PreCandidate,
  Candidate,
  Leader,
  Stopped, ///< The identity was refused; the core ignores all further events.
};

std::string_view ToString(RaftRole aRole);

/// Write, in this order: hard state, truncation, entries. Once all are synced, send the messages,
/// and call RaftCore::OnPersisted if there were entries; the actions it returns follow those that
/// were returned earlier.
struct PersistAction
{
  std::optional<HardState> mHardState;
  std::optional<LogIndex> mTruncateFrom;
  std::vector<LogEntry> mEntries;
  std::vector<RaftMessage> mMessagesAfterSync;
};

/// Send a message; it may be lost.
struct SendAction
{
  RaftMessage mMessage;
};

/// Apply committed entries in order, without a gap after the last applied one.
struct ApplyAction
{
  std::vector<LogEntry> mEntries;
};

/// Store the snapshot, replace the state of the state machine, then send the messages.
struct InstallSnapshotAction
{
  std::shared_ptr<const Snapshot> mSnapshot;
  bool mKeepSuffix = false; ///< Entries after the snapshot stay in the log.
  std::vector<RaftMessage> mMessagesAfterSync;
};

/// Role, term or known leader changed.
struct RoleChangedAction
{
  RaftRole mRole = RaftRole::Follower;
  Term mTerm = 0;
  std::optional<ReplicaId> mLeader;
};

/// A peer was refused; for logs and counters.
struct PeerRefusedAction
{
  ReplicaId mPeer;
  std::string mReason;
};

/// This replica was refused: log the reason and end the process.
struct StopAction
{
  std::string mReason;
};

using RaftAction = std::variant<PersistAction, SendAction, ApplyAction, InstallSnapshotAction,
                                RoleChangedAction, PeerRefusedAction, StopAction>;
using RaftActions = std::vector<RaftAction>;

} // namespace dandelionslip
