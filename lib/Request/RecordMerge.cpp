// Merges a record that another agent or process sent into the table.
#include "dandelionslip/Request/RequestRecords.h"

#include <algorithm>

namespace dandelionslip {

// A Done record is final, and an Unknown one is replaced only by Done, whichever agent they come
// from; both replace Refused records and Pending ones of another agent. A request that is pending
// at this agent ends only by its own run, whatever the incoming record says.
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
// record replaces it only if its first attempt is higher than
// - the highest attempt that the local record covers, if that is Refused;
// - the first attempt of the local record, if that is Pending.
// Otherwise the local record stays; if it is a refusal, it says how the incoming pending request
// ended. An incoming record that names this agent comes from an earlier process and never replaces
// the local one.
void RequestRecords::MergePending(const RequestId& aId, RequestRecord aLocal,
                                  RequestRecord aIncoming)
{
  // aLocal already has the higher of both attempts; the comparison needs the stored one.
  const RequestRecord& stored = *Find(aId);
  const Attempt known =
    stored.mState == RecordState::Refused ? stored.mAttempt : stored.mFirstAttempt;
  if (aIncoming.mFirstAttempt > known && aIncoming.mHandlingAgent != mSelf) {
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
  // As above, aLocal has the higher of both attempts.
  const RequestRecord& stored = *Find(aId);
  if (stored.mState == RecordState::Refused || aIncoming.mAttempt >= stored.mFirstAttempt) {
    aIncoming.mAttempt = aLocal.mAttempt;
    Store(aId, std::move(aIncoming));
  }
}

} // namespace dandelionslip
