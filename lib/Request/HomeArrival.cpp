// What happens to a request when it arrives at an agent.
#include "HomeInternals.h"

#include <algorithm>

namespace dandelionslip {

void AgentRequestCore::Internals::Arrive(ReceivedRequest aRequest, TimePoint aDeadline,
                                         const RequestTime& aTime)
{
  if (!aRequest.mIdempotent) {
    ArriveRecorded(std::move(aRequest), aDeadline, aTime);
    return;
  }
  if (mStopping) {
    RefuseNew(aRequest, {RefusalReason::Draining, Milliseconds(0)});
    return;
  }
  Dispatch(AddJob(std::move(aRequest), aDeadline), aTime);
}

void AgentRequestCore::Internals::ArriveRecorded(ReceivedRequest aRequest, TimePoint aDeadline,
                                                 const RequestTime& aTime)
{
  if (!aRequest.mId) {
    mCounters.CountRefusal(RefusalReason::BadRequestId);
    Reply(aRequest.mHandle, NotRunReply({RefusalReason::BadRequestId, Milliseconds(0)}));
    return;
  }
  // A message for an earlier process may have reached that process too.
  if (aRequest.mRelayed && aRequest.mTargetIncarnation != mSettings.mIncarnation) {
    Reply(aRequest.mHandle, UnknownOutcome());
    return;
  }
  if (ServeFromRecord(aRequest, aDeadline)) {
    return;
  }
  if (!aRequest.mRelayed) {
    const RecordBucketState state = mRecords.StateOf(mRecords.BucketFor(*aRequest.mId));
    if (state == RecordBucketState::Incomplete) {
      Hold(std::move(aRequest), aDeadline);
      return;
    }
    if (state != RecordBucketState::Complete) {
      Reply(aRequest.mHandle, NotOwnerReply(RefusalReason::TransferPending));
      return;
    }
    // Another agent may own the bucket by now, so nothing may be recorded about a new attempt.
    if (!mLeaseValid) {
      Reply(aRequest.mHandle, NotOwnerReply(RefusalReason::NoControl));
      return;
    }
  }
  if (DecideUnknownId(aRequest, aTime)) {
    return;
  }
  RequestRecords& table = TableFor(aRequest.mRelayed);
  if (!table.TryPending(*aRequest.mId, aRequest.mAttempt)) {
    RefuseNew(aRequest, {RefusalReason::RecordsFull, Milliseconds(1'000)});
    return;
  }
  Dispatch(AddJob(std::move(aRequest), aDeadline), aTime);
}

// Handles a resend. A refused record lets a higher attempt pass.
bool AgentRequestCore::Internals::ServeFromRecord(const ReceivedRequest& aRequest,
                                                  TimePoint aDeadline)
{
  const RequestRecord* record = TableFor(aRequest.mRelayed).Find(*aRequest.mId);
  if (record == nullptr) {
    return false;
  }
  if (record->mState == RecordState::Refused && aRequest.mAttempt > record->mAttempt) {
    return false;
  }
  mCounters.CountResend(record->mState);
  if (record->mState == RecordState::Pending) {
    JoinPending(aRequest, aDeadline);
    return true;
  }
  Reply(aRequest.mHandle, AnswerFromRecord(*record));
  return true;
}

void AgentRequestCore::Internals::JoinPending(const ReceivedRequest& aRequest, TimePoint aDeadline)
{
  TableFor(aRequest.mRelayed).Join(*aRequest.mId, aRequest.mAttempt);
  auto& index = IndexFor(aRequest.mRelayed);
  const auto found = index.find(*aRequest.mId);
  if (found == index.end()) {
    // Only records that arrived in a hand-off are pending without a job.
    HomeJob& job = AddJob(aRequest, aDeadline);
    job.mPhase = JobPhase::Elsewhere;
    return;
  }
  HomeJob& job = mJobs.at(found->second);
  job.mWaiters.push_back({aRequest.mHandle, aDeadline});
  mWaiting[aRequest.mHandle] = job.mToken;
  if (aDeadline > job.mDeadline) {
    job.mDeadline = aDeadline;
    mQueue.Extend(job.mToken, aDeadline);
  }
}

// Decides about an attempt without looking at the upstream; true when that settled it.
bool AgentRequestCore::Internals::DecideUnknownId(const ReceivedRequest& aRequest,
                                                  const RequestTime& aTime)
{
  RequestRecords& table = TableFor(aRequest.mRelayed);
  const bool known = table.Find(*aRequest.mId) != nullptr;
  const IdKnowledge knowledge =
    known ? IdKnowledge::New : table.Judge(*aRequest.mId, aTime.mWallMs, aRequest.mMayHaveRun);
  if (knowledge == IdKnowledge::TooOld) {
    Reply(aRequest.mHandle, UnknownOutcome());
    return true;
  }
  if (knowledge == IdKnowledge::InFuture) {
    const Refusal refusal{RefusalReason::BadRequestId, Milliseconds(0)};
    const auto ahead = Milliseconds(aRequest.mId->TimestampMs() - aTime.mWallMs);
    // The refusal has to be remembered until the id is too old; a record for a far-off timestamp
    // would stay for as long, so such an id is neither run nor called "not run".
    if (ahead > mSettings.mRecords.mRetention) {
      mCounters.CountRefusal(refusal.mReason);
      Reply(aRequest.mHandle, UnknownOutcome(refusal));
      return true;
    }
    RefuseNew(aRequest, refusal);
    return true;
  }
  if (mStopping) {
    RefuseNew(aRequest, {RefusalReason::Draining, Milliseconds(0)});
    return true;
  }
  return false;
}

void AgentRequestCore::Internals::Hold(ReceivedRequest aRequest, TimePoint aDeadline)
{
  if (mHeld.size() >= mSettings.mMaxHeld) {
    Reply(aRequest.mHandle, NotOwnerReply(RefusalReason::TransferPending));
    return;
  }
  mHeld.push_back({std::move(aRequest), aDeadline});
}

// Refuses an attempt that has no pending record. Without room to remember the refusal, a late copy
// of the attempt could still run, so the outcome is then unknown.
void AgentRequestCore::Internals::RefuseNew(const ReceivedRequest& aRequest,
                                            const Refusal& aRefusal)
{
  mCounters.CountRefusal(aRefusal.mReason);
  const bool remembered =
    aRequest.mIdempotent ||
    TableFor(aRequest.mRelayed).TryRefuse(*aRequest.mId, aRequest.mAttempt, aRefusal);
  Reply(aRequest.mHandle, remembered ? NotRunReply(aRefusal) : UnknownOutcome(aRefusal));
}

HomeJob& AgentRequestCore::Internals::AddJob(ReceivedRequest aRequest, TimePoint aDeadline)
{
  const std::uint64_t token = mNextToken++;
  HomeJob& job = mJobs[token];
  job.mToken = token;
  job.mId = aRequest.mId.value_or(RequestId());
  job.mDeadline = aDeadline;
  job.mWaiters.push_back({aRequest.mHandle, aDeadline});
  mWaiting[aRequest.mHandle] = token;
  job.mRequest = std::move(aRequest);
  if (job.IsRecorded()) {
    IndexFor(job.mRequest.mRelayed)[job.mId] = token;
  }
  return job;
}

} // namespace dandelionslip
