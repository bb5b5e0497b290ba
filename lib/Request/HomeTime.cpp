// Deadlines, withdrawal and loss of the lease.
#include "HomeInternals.h"

#include <algorithm>

namespace dandelionslip {

void HomeCore::Internals::Cancel(ReplyHandle aHandle)
{
  if (const auto found = mJobByHandle.find(aHandle); found != mJobByHandle.end()) {
    RemoveWaiter(mJobs.at(found->second), aHandle);
    return;
  }
  const auto held =
    std::find_if(mDeferred.begin(), mDeferred.end(), [aHandle](const DeferredRequest& aHeld) {
      return aHeld.mRequest.mHandle == aHandle;
    });
  if (held != mDeferred.end()) {
    mDeferred.erase(held);
    // The previous owner may have run it.
    Reply(aHandle, UnknownReply());
  }
}

void HomeCore::Internals::RemoveWaiter(RequestJob& aJob, ReplyHandle aHandle)
{
  const bool last = aJob.mWaiters.size() == 1;
  if (last && aJob.mPhase == JobPhase::Queued) {
    mQueue.Remove(aJob.mToken);
    // A late copy of the attempt is told that it did not run, as if its deadline had passed.
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

void HomeCore::Internals::EndOverdueWaiters(const RequestTime& aTime)
{
  for (const std::uint64_t token : JobTokens()) {
    RequestJob& job = mJobs.at(token);
    std::vector<ReplyHandle> overdue;
    for (const JobWaiter& waiter : job.mWaiters) {
      if (aTime.mNow >= waiter.mDeadline) {
        overdue.push_back(waiter.mHandle);
      }
    }
    // A queued request is refused as a whole by the queue once its latest deadline has passed.
    if (job.mPhase == JobPhase::Queued && overdue.size() == job.mWaiters.size()) {
      continue;
    }
    for (const ReplyHandle handle : overdue) {
      RemoveWaiter(job, handle);
    }
  }
}

void HomeCore::Internals::EndOverdueDeferred(const RequestTime& aTime)
{
  for (auto held = mDeferred.begin(); held != mDeferred.end();) {
    if (aTime.mNow < held->mDeadline) {
      ++held;
      continue;
    }
    Reply(held->mRequest.mHandle,
          UnknownReply(Refusal{RefusalReason::HandoffPending, Milliseconds(0)}));
    held = mDeferred.erase(held);
  }
}

// A queued request has not run and, without a lease, must not. Another owner that takes the bucket
// over answers "unknown" for ids of this age, so the refusal stays true.
void HomeCore::Internals::RefuseQueuedNonIdempotent(const Refusal& aRefusal)
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
