// Event functions of AgentRequestCore.
#include "AgentRequestInternals.h"

namespace dandelionslip {

namespace {

// The low bits of a run id count the runs of this process; the high bits are its incarnation. An
// answer to a run of an earlier process must not match a run of this one, so run ids of a later
// incarnation have to be higher. They are, because an incarnation is a start time in milliseconds,
// and a process does not start 4 million runs per millisecond.
constexpr std::uint32_t kRunCounterBits = 22;

} // namespace

AgentRequestCore::Internals::Internals(AgentRequestSettings aSettings, SlotAdmission& aSlots,
                                       AlternateLookup aAlternate, MetricsRegistry& aRegistry)
  : mSettings(std::move(aSettings))
  , mSlots(aSlots)
  , mAlternate(std::move(aAlternate))
  , mCounters(aRegistry)
  , mRecords(mSettings.mSelf, mSettings.mBuckets, mSettings.mRecords)
  , mRelayedRecords(mSettings.mSelf, 1, mSettings.mRecords)
  , mQueue(2 * static_cast<std::size_t>(mSettings.mSlots))
  , mNextRun((mSettings.mIncarnation << kRunCounterBits) + 1)
{
  // Relayed requests name the incarnation that they are meant for, and those for an earlier one are
  // not run. So this table has a record of every relayed request that ran, and its only bucket
  // is complete from the start.
  mRelayedRecords.AcquireAsFirstOwner(0, 1);
}

RequestJob* AgentRequestCore::Internals::FindJob(std::uint64_t aToken)
{
  const auto found = mJobs.find(aToken);
  return found == mJobs.end() ? nullptr : &found->second;
}

// Returns a copy of the keys of mJobs, for loops that end jobs.
std::vector<std::uint64_t> AgentRequestCore::Internals::JobTokens() const
{
  std::vector<std::uint64_t> tokens;
  tokens.reserve(mJobs.size());
  for (const auto& [token, job] : mJobs) {
    tokens.push_back(token);
  }
  return tokens;
}

AgentRequestCore::AgentRequestCore(AgentRequestSettings aSettings, SlotAdmission& aSlots,
                                   AlternateLookup aAlternate, MetricsRegistry& aRegistry)
  : mInternals(
      std::make_unique<Internals>(std::move(aSettings), aSlots, std::move(aAlternate), aRegistry))
{
}

AgentRequestCore::~AgentRequestCore() = default;

AgentRequestActions AgentRequestCore::OnRequest(ReceivedRequest aRequest, const RequestTime& aTime)
{
  const TimePoint deadline = aTime.mNow + aRequest.mRemaining;
  mInternals->Arrive(std::move(aRequest), deadline, aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnCancel(ReplyHandle aHandle, const RequestTime& /*aTime*/)
{
  mInternals->Cancel(aHandle);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnUpstreamAnswer(RunId aRun, const ReceivedAnswer& aAnswer,
                                                       const RequestTime& aTime)
{
  if (RequestJob* job = mInternals->TakeRun(aRun, JobPhase::Running)) {
    const bool complete = aAnswer.IsComplete();
    const RunResult truncated = job->mCancelSent ? RunResult::Cancelled : RunResult::Failed;
    mInternals->ReleaseSlot(*job, complete ? RunResult::Succeeded : truncated, aTime);
    if (complete) {
      mInternals->EndAnswered(*job, aAnswer.mAnswer);
    } else {
      mInternals->mCounters.CountDrop(RequestDrop::Truncated);
      mInternals->EndUnknown(*job);
    }
    mInternals->StartQueued(aTime);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnUpstreamShed(RunId aRun, const Refusal& aRefusal,
                                                     const RequestTime& aTime)
{
  if (RequestJob* job = mInternals->TakeRun(aRun, JobPhase::Running)) {
    mInternals->ReleaseSlot(*job, RunResult::Shed, aTime);
    if (job->mWaiters.empty()) {
      mInternals->EndRefused(*job, aRefusal);
    } else {
      mInternals->RelayOrRefuse(*job, aRefusal, aTime);
    }
    mInternals->StartQueued(aTime);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnUpstreamFailed(RunId aRun, const RequestTime& aTime)
{
  if (RequestJob* job = mInternals->TakeRun(aRun, JobPhase::Running)) {
    mInternals->ReleaseSlot(*job, job->mCancelSent ? RunResult::Cancelled : RunResult::Failed,
                            aTime);
    mInternals->EndUnknown(*job);
    mInternals->StartQueued(aTime);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnAlternateReply(RunId aRun, RequestOutcome aOutcome,
                                                       const Refusal& aRefusal,
                                                       const ReceivedAnswer& aReceived,
                                                       const RequestTime& /*aTime*/)
{
  RequestJob* job = mInternals->TakeRun(aRun, JobPhase::AtAlternate);
  if (job == nullptr) {
    return mInternals->TakeActions();
  }
  const bool answered = aOutcome == RequestOutcome::Answered;
  if (answered && aReceived.IsComplete()) {
    mInternals->EndAnswered(*job, aReceived.mAnswer);
    return mInternals->TakeActions();
  }
  if (answered) {
    mInternals->mCounters.CountDrop(RequestDrop::Truncated);
  }
  if (aOutcome == RequestOutcome::NotRun || aOutcome == RequestOutcome::Cancelled) {
    mInternals->EndRefused(*job, aRefusal);
  } else {
    mInternals->EndUnknown(*job);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnAlternateLinkFailed(RunId aRun, bool aSent,
                                                            const RequestTime& /*aTime*/)
{
  if (RequestJob* job = mInternals->TakeRun(aRun, JobPhase::AtAlternate)) {
    if (aSent) {
      mInternals->EndUnknown(*job);
    } else {
      mInternals->EndRefused(*job, {RefusalReason::SlotsFull, Milliseconds(0)});
    }
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnLease(bool aValid, const RequestTime& aTime)
{
  mInternals->mLeaseValid = aValid;
  if (!aValid) {
    mInternals->RefuseQueuedNonIdempotent({RefusalReason::NoControl, Milliseconds(0)});
  }
  mInternals->StartQueued(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnPlannedStop(const RequestTime& aTime)
{
  mInternals->mStopping = true;
  mInternals->StartQueued(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnTick(const RequestTime& aTime)
{
  mInternals->StartQueued(aTime);
  mInternals->EndOverdueWaiters(aTime);
  mInternals->EndOverdueDeferred(aTime);
  mInternals->mRecords.Expire(aTime.mWallMs);
  mInternals->mRelayedRecords.Expire(aTime.mWallMs);
  return mInternals->TakeActions();
}

bool AgentRequestCore::Active() const
{
  return !mInternals->mJobs.empty() || !mInternals->mDeferred.empty();
}

std::size_t AgentRequestCore::Running() const
{
  return mInternals->mRunningCount;
}

std::size_t AgentRequestCore::Queued() const
{
  return mInternals->mQueue.Size();
}

const RequestRecords& AgentRequestCore::Records() const
{
  return mInternals->mRecords;
}

} // namespace dandelionslip
