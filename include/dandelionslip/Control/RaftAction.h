// Actions that RaftCore asks the daemon to carry out.
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
  Stopped, ///< The replica must not take part any more; the core ignores all further events.
};

std::string_view ToString(RaftRole aRole);

/// Write the hard state, truncate the log, append the entries, in this order. Once all of it is
/// synced, send mMessagesAfterSync and, if there were entries, call RaftCore::OnPersisted. The
/// actions that OnPersisted returns are carried out after all that were returned earlier.
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

/// Store the snapshot, replace the state of the state machine, then send mMessagesAfterSync.
struct InstallSnapshotAction
{
  std::shared_ptr<const Snapshot> mSnapshot;
  bool mKeepSuffix = false; ///< Entries after the snapshot stay in the log.
  std::vector<RaftMessage> mMessagesAfterSync;
};

/// The role, the term or the known leader changed.
struct RoleChangedAction
{
  RaftRole mRole = RaftRole::Follower;
  Term mTerm = 0;
  std::optional<ReplicaId> mLeader;
};

/// A peer was refused. Only for logs and counters.
struct PeerRefusedAction
{
  ReplicaId mPeer;
  std::string mReason;
};

/// This replica must not take part any more: log the reason and end the process.
struct StopAction
{
  std::string mReason;
};

using RaftAction = std::variant<PersistAction, SendAction, ApplyAction, InstallSnapshotAction,
                                RoleChangedAction, PeerRefusedAction, StopAction>;
using RaftActions = std::vector<RaftAction>;

} // namespace dandelionslip
