// Entry points of AgentRequestCore.
#include "HomeInternals.h"

namespace dandelionslip {

namespace {

// Run ids of later incarnations are higher, so that an answer to a run of an earlier process never
// matches one of this process. An incarnation is a start time in milliseconds, and no process
// starts 4 million runs in each millisecond of its life.
constexpr std::uint32_t kRunBits = 22;

} // namespace

AgentRequestCore::Internals::Internals(AgentRequestSettings aSettings, SlotAdmission& aSlots,
                                       AlternateLookup aAlternate, MetricsRegistry& aRegistry)
  : mSettings(std::move(aSettings))
  , mSlots(aSlots)
  , mAlternate(std::move(aAlternate))
  , mCounters(aRegistry)
  , mRecords(mSettings.mSelf, mSettings.mBuckets, mSettings.mRecords)
  , mGuests(mSettings.mSelf, 1, mSettings.mRecords)
  , mQueue(2 * static_cast<std::size_t>(mSettings.mSlots))
  , mNextRun((mSettings.mIncarnation << kRunBits) + 1)
{
  // Relayed messages name the incarnation they are for, so this table misses none of them.
  mGuests.CompleteFirst(0, 1);
}

HomeJob* AgentRequestCore::Internals::FindJob(std::uint64_t aToken)
{
  const auto found = mJobs.find(aToken);
  return found == mJobs.end() ? nullptr : &found->second;
}

// Jobs end while they are visited, so visits go through a copy of the keys.
std::vector<std::uint64_t> AgentRequestCore::Internals::Tokens() const
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
  mInternals->Withdraw(aHandle);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnUpstreamAnswer(RunId aRun, const ReceivedAnswer& aAnswer,
                                                       const RequestTime& aTime)
{
  if (HomeJob* job = mInternals->TakeRun(aRun, JobPhase::Running)) {
    const bool whole = aAnswer.IsWhole();
    const RunResult cut = job->mCancelSent ? RunResult::Cancelled : RunResult::Failed;
    mInternals->ReleaseSlot(*job, whole ? RunResult::Succeeded : cut, aTime);
    if (whole) {
      mInternals->EndAnswered(*job, aAnswer.mAnswer);
    } else {
      mInternals->mCounters.CountDrop(RequestDrop::CutShort);
      mInternals->EndUnknown(*job);
    }
    mInternals->PumpQueue(aTime);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnUpstreamShed(RunId aRun, const Refusal& aRefusal,
                                                     const RequestTime& aTime)
{
  if (HomeJob* job = mInternals->TakeRun(aRun, JobPhase::Running)) {
    mInternals->ReleaseSlot(*job, RunResult::Shed, aTime);
    if (job->mWaiters.empty()) {
      mInternals->EndRefused(*job, aRefusal);
    } else {
      mInternals->RelayOrRefuse(*job, aRefusal, aTime);
    }
    mInternals->PumpQueue(aTime);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnUpstreamFailed(RunId aRun, const RequestTime& aTime)
{
  if (HomeJob* job = mInternals->TakeRun(aRun, JobPhase::Running)) {
    mInternals->ReleaseSlot(*job, job->mCancelSent ? RunResult::Cancelled : RunResult::Failed,
                            aTime);
    mInternals->EndUnknown(*job);
    mInternals->PumpQueue(aTime);
  }
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnAlternateAnswer(RunId aRun, RequestOutcome aOutcome,
                                                        const Refusal& aRefusal,
                                                        const ReceivedAnswer& aReceived,
                                                        const RequestTime& /*aTime*/)
{
  HomeJob* job = mInternals->TakeRun(aRun, JobPhase::AtAlternate);
  if (job == nullptr) {
    return mInternals->TakeActions();
  }
  const bool answered = aOutcome == RequestOutcome::Answered;
  if (answered && aReceived.IsWhole()) {
    mInternals->EndAnswered(*job, aReceived.mAnswer);
    return mInternals->TakeActions();
  }
  if (answered) {
    mInternals->mCounters.CountDrop(RequestDrop::CutShort);
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
  if (HomeJob* job = mInternals->TakeRun(aRun, JobPhase::AtAlternate)) {
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
    mInternals->RefuseQueuedRecorded({RefusalReason::NoControl, Milliseconds(0)});
  }
  mInternals->PumpQueue(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnPlannedStop(const RequestTime& aTime)
{
  mInternals->mStopping = true;
  mInternals->PumpQueue(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnTick(const RequestTime& aTime)
{
  mInternals->PumpQueue(aTime);
  mInternals->EndOverdueWaiters(aTime);
  mInternals->EndOverdueHeld(aTime);
  mInternals->mRecords.Expire(aTime.mWallMs);
  mInternals->mGuests.Expire(aTime.mWallMs);
  return mInternals->TakeActions();
}

bool AgentRequestCore::Active() const
{
  return !mInternals->mJobs.empty() || !mInternals->mHeld.empty();
}

std::size_t AgentRequestCore::Running() const
{
  return mInternals->mRunning;
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
