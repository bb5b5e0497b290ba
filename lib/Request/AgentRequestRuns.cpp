// Runs requests at the upstream, queues them, or relays them to the alternate agent.
#include "AgentRequestInternals.h"

#include <algorithm>

namespace dandelionslip {

namespace {

Milliseconds RemainingFor(const RequestJob& aJob, const RequestTime& aTime,
                          Milliseconds aHopAllowance)
{
  const auto left = std::chrono::floor<Milliseconds>(aJob.mDeadline - aTime.mNow) - aHopAllowance;
  return std::max(left, Milliseconds(1));
}

} // namespace

void AgentRequestCore::Internals::Dispatch(RequestJob& aJob, const RequestTime& aTime)
{
  if (aJob.mRequest.mRelayed && aJob.IsRecorded() && !mLeaseValid) {
    EndRefused(aJob, {RefusalReason::NoControl, Milliseconds(0)});
    return;
  }
  if (auto refusal = mQueue.CheckDeadline(aJob.mDeadline, aTime.mNow, 0, 0)) {
    EndRefused(aJob, *refusal);
    return;
  }
  if (mQueue.Size() > 0 && !aJob.mRequest.mRelayed) {
    Enqueue(aJob, aTime);
    StartQueued(aTime);
    return;
  }
  const auto refusal = mSlots.TryStart(aTime.mNow);
  if (!refusal) {
    StartRun(aJob, aTime);
    return;
  }
  // A relayed request is not queued: the bucket's owner relayed it so that it does not have to
  // wait.
  if (aJob.mRequest.mRelayed) {
    EndRefused(aJob, *refusal);
    return;
  }
  Enqueue(aJob, aTime);
}

void AgentRequestCore::Internals::Enqueue(RequestJob& aJob, const RequestTime& aTime)
{
  const std::uint64_t token = aJob.mToken;
  const QueueEntry entry{token, aJob.mRequest.mCaller, aJob.mRequest.mClass, aJob.mDeadline};
  const QueueOffer offer = mQueue.Offer(entry, aTime.mNow, mRunningCount);
  if (offer.mRefusal) {
    RelayOrRefuse(aJob, *offer.mRefusal, aTime);
    return;
  }
  aJob.mPhase = JobPhase::Queued;
  if (offer.mDisplaced) {
    const auto retryAfter = std::chrono::ceil<Milliseconds>(mQueue.ExpectedRunTime());
    RelayOrRefuse(mJobs.at(offer.mDisplaced->mToken), {RefusalReason::SlotsFull, retryAfter},
                  aTime);
  }
}

void AgentRequestCore::Internals::StartRun(RequestJob& aJob, const RequestTime& aTime)
{
  aJob.mPhase = JobPhase::Running;
  aJob.mStarted = aTime.mNow;
  aJob.mRun = mNextRun++;
  mJobByRun[aJob.mRun] = aJob.mToken;
  ++mRunningCount;
  mActions.emplace_back(RunAtUpstream{aJob.mRun, aJob.mId, aJob.mRequest.mAttempt,
                                      RemainingFor(aJob, aTime, mSettings.mHopAllowance),
                                      aJob.mRequest.mBody});
}

// Relays a request that cannot run here to the alternate agent, but only once; this agent keeps the
// record. Refuses the request when it cannot be relayed.
void AgentRequestCore::Internals::RelayOrRefuse(RequestJob& aJob, const Refusal& aRefusal,
                                                const RequestTime& aTime)
{
  const bool allowed = !aJob.mRequest.mRelayed && !aJob.mTriedAlternate &&
                       (mLeaseValid || !aJob.IsRecorded()) && aTime.mNow < aJob.mDeadline;
  const auto alternate =
    allowed && mAlternate ? mAlternate(mRecords.BucketFor(aJob.mId)) : std::nullopt;
  if (!alternate || alternate->mName == mSettings.mSelf) {
    EndRefused(aJob, aRefusal);
    return;
  }
  aJob.mPhase = JobPhase::AtAlternate;
  aJob.mTriedAlternate = true;
  aJob.mRun = mNextRun++;
  mJobByRun[aJob.mRun] = aJob.mToken;
  const ReceivedRequest& request = aJob.mRequest;
  mActions.emplace_back(RelayToAlternate{aJob.mRun, alternate->mName, alternate->mIncarnation,
                                         aJob.mId, request.mAttempt, request.mIdempotent,
                                         RemainingFor(aJob, aTime, mSettings.mHopAllowance),
                                         request.mCaller, request.mClass, request.mBody});
}

void AgentRequestCore::Internals::StartQueued(const RequestTime& aTime)
{
  for (const QueueEntry& overdue : mQueue.TakeOverdue(aTime.mNow)) {
    EndRefused(mJobs.at(overdue.mToken), {RefusalReason::Deadline, Milliseconds(0)});
  }
  while (const QueueEntry* front = mQueue.Front()) {
    RequestJob& job = mJobs.at(front->mToken);
    if (mSlots.TryStart(aTime.mNow)) {
      return;
    }
    mQueue.Pop();
    StartRun(job, aTime);
  }
}

// Returns the job of a run that ended, and forgets the run. Null when no job in this phase has the
// run.
RequestJob* AgentRequestCore::Internals::TakeRun(RunId aRun, JobPhase aPhase)
{
  const auto found = mJobByRun.find(aRun);
  RequestJob* job = found == mJobByRun.end() ? nullptr : FindJob(found->second);
  if (job == nullptr || job->mPhase != aPhase) {
    mCounters.CountDrop(RequestDrop::UnmatchedAnswer);
    return nullptr;
  }
  mJobByRun.erase(found);
  if (job->mWaiters.empty()) {
    mCounters.CountDrop(RequestDrop::LateAnswer);
  }
  return job;
}

void AgentRequestCore::Internals::ReleaseSlot(const RequestJob& aJob, RunResult aResult,
                                              const RequestTime& aTime)
{
  --mRunningCount;
  const RuntimeClock::duration latency = aTime.mNow - aJob.mStarted;
  if (aResult == RunResult::Succeeded) {
    mQueue.ObserveRunTime(latency);
  }
  mSlots.Finished(aTime.mNow, latency, aResult);
}

// Cancels the run of a job without waiters. The record stays pending until the run ends.
void AgentRequestCore::Internals::CancelJob(RequestJob& aJob)
{
  if (!aJob.mCancelSent) {
    aJob.mCancelSent = true;
    mActions.emplace_back(CancelRun{aJob.mRun});
  }
}

} // namespace dandelionslip
