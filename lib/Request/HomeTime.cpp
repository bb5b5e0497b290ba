// Deadlines, withdrawal and loss of the lease.
#include "HomeInternals.h"

#include <algorithm>

namespace dandelionslip {

void AgentRequestCore::Internals::Withdraw(ReplyHandle aHandle)
{
  if (const auto found = mWaiting.find(aHandle); found != mWaiting.end()) {
    WithdrawFromJob(mJobs.at(found->second), aHandle);
    return;
  }
  const auto held = std::find_if(mHeld.begin(), mHeld.end(), [aHandle](const HeldRequest& aHeld) {
    return aHeld.mRequest.mHandle == aHandle;
  });
  if (held != mHeld.end()) {
    mHeld.erase(held);
    // The previous owner may have run it.
    Reply(aHandle, UnknownOutcome());
  }
}

void AgentRequestCore::Internals::WithdrawFromJob(HomeJob& aJob, ReplyHandle aHandle)
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
  mWaiting.erase(aHandle);
  Reply(aHandle, UnknownOutcome());
  if (!last) {
    return;
  }
  if (aJob.mPhase == JobPhase::Elsewhere) {
    IndexFor(aJob.mRequest.mRelayed).erase(aJob.mId);
    mJobs.erase(aJob.mToken);
    return;
  }
  CancelJob(aJob);
}

void AgentRequestCore::Internals::EndOverdueWaiters(const RequestTime& aTime)
{
  for (const std::uint64_t token : Tokens()) {
    HomeJob& job = mJobs.at(token);
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
      WithdrawFromJob(job, handle);
    }
  }
}

void AgentRequestCore::Internals::EndOverdueHeld(const RequestTime& aTime)
{
  for (auto held = mHeld.begin(); held != mHeld.end();) {
    if (aTime.mNow < held->mDeadline) {
      ++held;
      continue;
    }
    Reply(held->mRequest.mHandle,
          UnknownOutcome(Refusal{RefusalReason::TransferPending, Milliseconds(0)}));
    held = mHeld.erase(held);
  }
}

// A queued request has not run and, without a lease, must not. Another owner that takes the bucket
// over answers "unknown" for ids of this age, so the refusal stays true.
void AgentRequestCore::Internals::RefuseQueuedRecorded(const Refusal& aRefusal)
{
  for (const std::uint64_t token : Tokens()) {
    HomeJob& job = mJobs.at(token);
    if (job.mPhase == JobPhase::Queued && job.IsRecorded()) {
      mQueue.Remove(token);
      EndRefused(job, aRefusal);
    }
  }
}

} // namespace dandelionslip
