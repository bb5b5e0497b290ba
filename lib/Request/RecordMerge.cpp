// Combines a record received from another agent with what is known here.
#include "dandelionslip/Request/RequestRecords.h"

#include <algorithm>

namespace dandelionslip {

// Done and unknown are final for an id and hold wherever they were found. A pending record that is
// held here ends only by its own run.
void RequestRecords::Merge(const RequestId& aId, RequestRecord aIncoming)
{
  const RequestRecord* found = Find(aId);
  if (found == nullptr) {
    // A pending record that names this agent belongs to an earlier process of it.
    if (IsOwnPending(aIncoming)) {
      aIncoming.mState = RecordState::Unknown;
    }
    Store(aId, std::move(aIncoming));
    return;
  }
  RequestRecord local = *found;
  local.mAttempt = std::max(local.mAttempt, aIncoming.mAttempt);
  if (local.mState == RecordState::Done || IsOwnPending(local)) {
    RaiseAttempt(aId, aIncoming.mAttempt);
    return;
  }
  if (aIncoming.mState == RecordState::Done) {
    Store(aId, std::move(aIncoming));
    return;
  }
  if (local.mState == RecordState::Unknown || aIncoming.mState == RecordState::Unknown) {
    local.mState = RecordState::Unknown;
    Store(aId, std::move(local));
    return;
  }
  aIncoming.mState == RecordState::Pending
    ? MergePending(aId, std::move(local), std::move(aIncoming))
    : MergeRefused(aId, local, std::move(aIncoming));
}

// The local record is refused or held elsewhere. A pending record is newer than a refusal only if
// it began with a higher attempt; otherwise the refusal is how that pending record ended.
void RequestRecords::MergePending(const RequestId& aId, RequestRecord aLocal,
                                  RequestRecord aIncoming)
{
  const RequestRecord& found = *Find(aId);
  const Attempt known = found.mState == RecordState::Refused ? found.mAttempt : found.mFirstAttempt;
  if (aIncoming.mFirstAttempt > known && aIncoming.mRunningAgent != mSelf) {
    aIncoming.mAttempt = aLocal.mAttempt;
    Store(aId, std::move(aIncoming));
    return;
  }
  Store(aId, std::move(aLocal));
}

// A refusal ends a pending record held elsewhere only if it covers the attempt that began it; a
// lower one is a late message about an earlier attempt.
void RequestRecords::MergeRefused(const RequestId& aId, const RequestRecord& aLocal,
                                  RequestRecord aIncoming)
{
  const RequestRecord& found = *Find(aId);
  if (found.mState == RecordState::Refused || aIncoming.mAttempt >= found.mFirstAttempt) {
    aIncoming.mAttempt = aLocal.mAttempt;
    Store(aId, std::move(aIncoming));
  }
}

} // namespace dandelionslip
