// Merges a record that another agent or process sent into the table.
#include "dandelionslip/Request/RequestRecords.h"

#include <algorithm>

namespace dandelionslip {

// Done and Unknown are final, whichever agent they come from; Done replaces Unknown. A request that
// is pending at this agent ends only by its own run, whatever the incoming record says.
void RequestRecords::Merge(const RequestId& aId, RequestRecord aIncoming)
{
  const RequestRecord* found = Find(aId);
  if (found == nullptr) {
    // A pending record that names this agent was added by an earlier process, which may have run
    // the request.
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

// Merges a pending record. The local record is Refused, or Pending at another agent. The incoming
// record is newer only if it was added for a higher attempt than the local one covers (Refused) or
// was added for (Pending). Otherwise the local record stays; if it is a refusal, it says how the
// incoming pending request ended.
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

// Merges a refused record. The local record is Refused, or Pending at another agent. A refusal ends
// a pending record only if it covers the attempt that the record was added for; a refusal of a
// lower attempt is a late message about an earlier record.
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
