// Decides what to do with a request that arrived at an agent.
#include "AgentRequestInternals.h"

#include <algorithm>

namespace dandelionslip {

void AgentRequestCore::Internals::Arrive(ReceivedRequest aRequest, TimePoint aDeadline,
                                         const RequestTime& aTime)
{
  if (!aRequest.mIdempotent) {
    HandleNonIdempotent(std::move(aRequest), aDeadline, aTime);
    return;
  }
  if (mStopping) {
    RefuseAttempt(aRequest, {RefusalReason::Draining, Milliseconds(0)});
    return;
  }
  Dispatch(AddJob(std::move(aRequest), aDeadline), aTime);
}

void AgentRequestCore::Internals::HandleNonIdempotent(ReceivedRequest aRequest, TimePoint aDeadline,
                                                      const RequestTime& aTime)
{
  if (!aRequest.mId) {
    mCounters.CountRefusal(RefusalReason::BadRequestId);
    Reply(aRequest.mHandle, NotRunReply({RefusalReason::BadRequestId, Milliseconds(0)}));
    return;
  }
  // The request was meant for an earlier process of this agent, which may have run it.
  if (aRequest.mRelayed && aRequest.mTargetIncarnation != mSettings.mIncarnation) {
    Reply(aRequest.mHandle, UnknownReply());
    return;
  }
  if (HandleResend(aRequest, aDeadline)) {
    return;
  }
  if (!aRequest.mRelayed) {
    const RecordBucketState state = mRecords.StateOf(mRecords.BucketFor(*aRequest.mId));
    if (state == RecordBucketState::Incomplete) {
      Defer(std::move(aRequest), aDeadline);
      return;
    }
    if (state != RecordBucketState::Complete) {
      Reply(aRequest.mHandle, NotOwnerReply(RefusalReason::TransferPending));
      return;
    }
    // Another agent may own the bucket by now, so this one must not decide about a new attempt.
    if (!mLeaseValid) {
      Reply(aRequest.mHandle, NotOwnerReply(RefusalReason::NoControl));
      return;
    }
  }
  if (RefuseIfNotRunnable(aRequest, aTime)) {
    return;
  }
  RequestRecords& table = RecordsFor(aRequest.mRelayed);
  if (!table.TryAddPending(*aRequest.mId, aRequest.mAttempt)) {
    RefuseAttempt(aRequest, {RefusalReason::RecordsFull, Milliseconds(1'000)});
    return;
  }
  Dispatch(AddJob(std::move(aRequest), aDeadline), aTime);
}

// Handles a request whose id has a record; false when it has none. Also returns false when the
// record is Refused and covers only lower attempts, because a higher attempt may run.
bool AgentRequestCore::Internals::HandleResend(const ReceivedRequest& aRequest, TimePoint aDeadline)
{
  const RequestRecord* record = RecordsFor(aRequest.mRelayed).Find(*aRequest.mId);
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
  Reply(aRequest.mHandle, ReplyFor(*record));
  return true;
}

void AgentRequestCore::Internals::JoinPending(const ReceivedRequest& aRequest, TimePoint aDeadline)
{
  RecordsFor(aRequest.mRelayed).RaiseAttempt(*aRequest.mId, aRequest.mAttempt);
  auto& index = JobIndexFor(aRequest.mRelayed);
  const auto found = index.find(*aRequest.mId);
  if (found == index.end()) {
    // Only records that arrived in a bucket transfer are pending without a job.
    RequestJob& job = AddJob(aRequest, aDeadline);
    job.mPhase = JobPhase::AtPreviousOwner;
    return;
  }
  RequestJob& job = mJobs.at(found->second);
  job.mWaiters.push_back({aRequest.mHandle, aDeadline});
  mJobByHandle[aRequest.mHandle] = job.mToken;
  if (aDeadline > job.mDeadline) {
    job.mDeadline = aDeadline;
    mQueue.SetDeadline(job.mToken, aDeadline);
  }
}

// Replies to an attempt that must not run because of its id or because the process stops; false
// when it may run.
bool AgentRequestCore::Internals::RefuseIfNotRunnable(const ReceivedRequest& aRequest,
                                                      const RequestTime& aTime)
{
  RequestRecords& table = RecordsFor(aRequest.mRelayed);
  // An id with a record, which can only be Refused here, needs no check of its age.
  const bool known = table.Find(*aRequest.mId) != nullptr;
  const IdFreshness freshness =
    known ? IdFreshness::New
          : table.CheckFreshness(*aRequest.mId, aTime.mWallMs, aRequest.mMayHaveRun);
  if (freshness == IdFreshness::TooOld) {
    Reply(aRequest.mHandle, UnknownReply());
    return true;
  }
  if (freshness == IdFreshness::InFuture) {
    const Refusal refusal{RefusalReason::BadRequestId, Milliseconds(0)};
    const auto ahead = Milliseconds(aRequest.mId->TimestampMs() - aTime.mWallMs);
    // The reply "not run" needs a record that stays until the id is too old. With a timestamp far
    // in the future the record would stay almost without limit. So no record is kept, and the reply
    // is "unknown" although the request does not run.
    if (ahead > mSettings.mRecords.mRetention) {
      mCounters.CountRefusal(refusal.mReason);
      Reply(aRequest.mHandle, UnknownReply(refusal));
      return true;
    }
    RefuseAttempt(aRequest, refusal);
    return true;
  }
  if (mStopping) {
    RefuseAttempt(aRequest, {RefusalReason::Draining, Milliseconds(0)});
    return true;
  }
  return false;
}

void AgentRequestCore::Internals::Defer(ReceivedRequest aRequest, TimePoint aDeadline)
{
  if (mDeferred.size() >= mSettings.mMaxDeferred) {
    Reply(aRequest.mHandle, NotOwnerReply(RefusalReason::TransferPending));
    return;
  }
  mDeferred.push_back({std::move(aRequest), aDeadline});
}

// Refuses an attempt that has no pending record. When there is no room for a record of the refusal,
// a late copy of the attempt could still run, so the reply is "unknown".
void AgentRequestCore::Internals::RefuseAttempt(const ReceivedRequest& aRequest,
                                                const Refusal& aRefusal)
{
  mCounters.CountRefusal(aRefusal.mReason);
  const bool notRunIsCertain =
    aRequest.mIdempotent ||
    RecordsFor(aRequest.mRelayed).TryMarkRefused(*aRequest.mId, aRequest.mAttempt, aRefusal);
  Reply(aRequest.mHandle, notRunIsCertain ? NotRunReply(aRefusal) : UnknownReply(aRefusal));
}

RequestJob& AgentRequestCore::Internals::AddJob(ReceivedRequest aRequest, TimePoint aDeadline)
{
  const std::uint64_t token = mNextToken++;
  RequestJob& job = mJobs[token];
  job.mToken = token;
  job.mId = aRequest.mId.value_or(RequestId());
  job.mDeadline = aDeadline;
  job.mWaiters.push_back({aRequest.mHandle, aDeadline});
  mJobByHandle[aRequest.mHandle] = token;
  job.mRequest = std::move(aRequest);
  if (job.IsRecorded()) {
    JobIndexFor(job.mRequest.mRelayed)[job.mId] = token;
  }
  return job;
}

} // namespace dandelionslip
