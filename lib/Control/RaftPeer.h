// What a leader knows about another replica.
#pragma once

#include "PeerStateMachine.h"

#include "dandelionslip/Control/RaftMessage.h"
#include "dandelionslip/Control/Snapshot.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace dandelionslip {

/// What a leader knows about another replica.
struct RaftPeer
{
  PeerStateMachine mStateMachine;
  LogIndex mMatchIndex = 0;       ///< The peer's log is durable and equal up to here.
  LogIndex mNextIndex = 1;        ///< Next entry to send.
  std::deque<LogIndex> mInFlight; ///< Last index of each unanswered append with entries.

  StoreId mStore = 0; ///< Zero until the first answer; no entries are sent before.
  /// Store ids of lost data directories; late answers from them are ignored.
  std::vector<StoreId> mRetiredStores;

  std::optional<TimePoint> mLastContact; ///< Send time of the newest answered message.
  std::optional<ClockStamp> mStamp;      ///< Newest stamp of the peer's clock.
  TimePoint mStampReceived;

  std::shared_ptr<const Snapshot> mSnapshot; ///< Snapshot that is being sent.
  std::uint64_t mChunkOffset = 0;            ///< Offset of the chunk that is being sent.
  TimePoint mChunkSent;
};

} // namespace dandelionslip
