// Cancellation, deadlines and loss of the lease.
#include "AgentRequestInternals.h"

#include <algorithm>

namespace dandelionslip {

void AgentRequestCore::Internals::Cancel(ReplyHandle aHandle)
{
  if (const auto found = mJobByHandle.find(aHandle); found != mJobByHandle.end()) {
    EndWaiter(mJobs.at(found->second), aHandle);
    return;
  }
  const auto deferred =
    std::find_if(mDeferred.begin(), mDeferred.end(), [aHandle](const DeferredRequest& aDeferred) {
      return aDeferred.mRequest.mHandle == aHandle;
    });
  if (deferred != mDeferred.end()) {
    mDeferred.erase(deferred);
    // An earlier attempt may have run at the previous owner.
    Reply(aHandle, UnknownReply());
  }
}

// Replies to one waiter. The last waiter of a queued request ends the request, that of a running or
// relayed one cancels the run.
void AgentRequestCore::Internals::EndWaiter(RequestJob& aJob, ReplyHandle aHandle)
{
  const bool last = aJob.mWaiters.size() == 1;
  if (last && aJob.mPhase == JobPhase::Queued) {
    mQueue.Remove(aJob.mToken);
    // The sender gets the reply "cancelled"; the refusal only goes into the record. A late copy of
    // the attempt then gets the reply "not run", as after a missed deadline.
    EndRefused(aJob, {RefusalReason::Deadline, Milliseconds(0)}, true);
    return;
  }
  std::erase_if(aJob.mWaiters,
                [aHandle](const JobWaiter& aWaiter) { return aWaiter.mHandle == aHandle; });
  mJobByHandle.erase(aHandle);
  Reply(aHandle, UnknownReply());
  if (!last) {
    return;
  }
  if (aJob.mPhase == JobPhase::AtPreviousOwner) {
    JobIndexFor(aJob.mRequest.mRelayed).erase(aJob.mId);
    mJobs.erase(aJob.mToken);
    return;
  }
  CancelJob(aJob);
}

void AgentRequestCore::Internals::EndOverdueWaiters(const RequestTime& aTime)
{
  for (const std::uint64_t token : JobTokens()) {
    RequestJob& job = mJobs.at(token);
    std::vector<ReplyHandle> overdue;
    for (const JobWaiter& waiter : job.mWaiters) {
      if (aTime.mNow >= waiter.mDeadline) {
        overdue.push_back(waiter.mHandle);
      }
    }
    // StartQueued ends queued requests that can no longer be answered by their latest deadline.
    if (job.mPhase == JobPhase::Queued && overdue.size() == job.mWaiters.size()) {
      continue;
    }
    for (const ReplyHandle handle : overdue) {
      EndWaiter(job, handle);
    }
  }
}

void AgentRequestCore::Internals::EndOverdueDeferred(const RequestTime& aTime)
{
  for (auto deferred = mDeferred.begin(); deferred != mDeferred.end();) {
    if (aTime.mNow < deferred->mDeadline) {
      ++deferred;
      continue;
    }
    Reply(deferred->mRequest.mHandle,
          UnknownReply(Refusal{RefusalReason::TransferPending, Milliseconds(0)}));
    deferred = mDeferred.erase(deferred);
  }
}

// Called when the lease has ended: queued requests have not run and must not run without a lease.
// The reply "not run" stays true, because a new owner that takes the bucket over without its
// records replies "unknown" for ids of this age.
void AgentRequestCore::Internals::RefuseQueuedNonIdempotent(const Refusal& aRefusal)
{
  for (const std::uint64_t token : JobTokens()) {
    RequestJob& job = mJobs.at(token);
    if (job.mPhase == JobPhase::Queued && job.IsRecorded()) {
      mQueue.Remove(token);
      EndRefused(job, aRefusal);
    }
  }
}

} // namespace dandelionslip
