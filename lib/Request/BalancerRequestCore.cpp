// Event functions of BalancerRequestCore, and start and end of requests.
#include "BalancerRequestInternals.h"

#include <algorithm>

namespace dandelionslip {

BalancerRequestCore::Internals::Internals(BalancerRequestSettings aSettings,
                                          const RequestTargets& aTargets, std::uint64_t aSeed,
                                          MetricsRegistry& aRegistry)
  : mSettings(aSettings)
  , mTargets(aTargets)
  , mRandom(aSeed)
  , mBudget(aSettings.mBudget)
  , mCounters(aRegistry)
{
  mSettings.mMaxTries = std::min(mSettings.mMaxTries, kMaxTries);
}

void BalancerRequestCore::Internals::Accept(CallerRequest aRequest, const RequestTime& aTime)
{
  std::optional<RequestId> id;
  if (aRequest.mIdText) {
    if (const auto parsed = RequestId::Parse(*aRequest.mIdText)) {
      id = parsed.value();
    }
    const bool valid = id && aRequest.mCallerAttempt <= kMaxCallerAttempt;
    if (!valid && !aRequest.mIdempotent) {
      mCounters.CountRefusal(RefusalReason::BadRequestId);
      Reply(aRequest.mHandle, {}, NotRunReply({RefusalReason::BadRequestId, Milliseconds(0)}));
      return;
    }
  }
  const bool callerSentValidId = id.has_value();
  if (callerSentValidId && mByCallerAttempt.contains({*id, aRequest.mCallerAttempt})) {
    mCounters.CountDrop(RequestDrop::DuplicateAttempt);
    if (!aRequest.mIdempotent) {
      Reply(aRequest.mHandle, *id, UnknownReply());
      return;
    }
    id.reset();
  }
  const RequestId used = id ? *id : RequestId::Make(aTime.mWallMs, mRandom);
  const std::uint64_t token = mNextToken++;
  OpenRequest& open = mOpenRequests[token];
  open.mToken = token;
  open.mId = used;
  open.mTryOwnerFirst = !aRequest.mIdempotent || callerSentValidId;
  open.mDeadline = aTime.mNow + aRequest.mRemaining;
  // An earlier attempt of the caller, perhaps through another balancer, may run or have run.
  open.mMayHaveRun = callerSentValidId && aRequest.mCallerAttempt > 1;
  mByHandle[aRequest.mHandle] = token;
  mByCallerAttempt[{used, aRequest.mCallerAttempt}] = token;
  open.mRequest = std::move(aRequest);
  Send(open, aTime);
}

void BalancerRequestCore::Internals::Cancel(OpenRequest& aOpen)
{
  aOpen.mCancelled = true;
  if (!aOpen.mInFlight) {
    FinishWithoutAnswer(aOpen);
    return;
  }
  mActions.emplace_back(CancelAtAgent{aOpen.mAgent, aOpen.mKey});
}

void BalancerRequestCore::Internals::Finish(OpenRequest& aOpen, RequestReply aReply)
{
  if (aOpen.mInFlight) {
    --mAttemptsInFlight[aOpen.mAgent];
  }
  mTimers.erase({aOpen.mTimerAt, aOpen.mToken});
  mByHandle.erase(aOpen.mRequest.mHandle);
  mByCallerAttempt.erase({aOpen.mId, aOpen.mRequest.mCallerAttempt});
  Reply(aOpen.mRequest.mHandle, aOpen.mId, std::move(aReply));
  mOpenRequests.erase(aOpen.mToken);
}

// Replies "unknown" when an attempt may have run, otherwise "cancelled" or "not run".
void BalancerRequestCore::Internals::FinishWithoutAnswer(OpenRequest& aOpen)
{
  if (aOpen.mMayHaveRun) {
    RequestReply reply = UnknownReply(aOpen.mLastRefusal);
    reply.mDigest = aOpen.mDigest;
    Finish(aOpen, std::move(reply));
    return;
  }
  if (aOpen.mCancelled) {
    Finish(aOpen, CancelledReply());
    return;
  }
  const Refusal refusal =
    aOpen.mLastRefusal.value_or(Refusal{RefusalReason::NoUpstream, Milliseconds(0)});
  mCounters.CountRefusal(refusal.mReason);
  Finish(aOpen, NotRunReply(refusal));
}

void BalancerRequestCore::Internals::EndOverdue(OpenRequest& aOpen)
{
  if (aOpen.mInFlight) {
    mActions.emplace_back(CancelAtAgent{aOpen.mAgent, aOpen.mKey});
  }
  if (!aOpen.mLastRefusal) {
    aOpen.mLastRefusal = Refusal{RefusalReason::Deadline, Milliseconds(0)};
  }
  FinishWithoutAnswer(aOpen);
}

void BalancerRequestCore::Internals::Reply(ReplyHandle aHandle, const RequestId& aId,
                                           RequestReply aReply)
{
  mCounters.CountOutcome(aReply.mOutcome);
  mActions.emplace_back(ReplyToCaller{aHandle, aId, std::move(aReply)});
}

OpenRequest* BalancerRequestCore::Internals::FindByHandle(ReplyHandle aHandle)
{
  const auto found = mByHandle.find(aHandle);
  return found == mByHandle.end() ? nullptr : &mOpenRequests.at(found->second);
}

void BalancerRequestCore::Internals::SetTimer(OpenRequest& aOpen, TimePoint aWhen)
{
  mTimers.erase({aOpen.mTimerAt, aOpen.mToken});
  aOpen.mTimerAt = aWhen;
  mTimers.emplace(aWhen, aOpen.mToken);
}

BalancerRequestCore::BalancerRequestCore(BalancerRequestSettings aSettings,
                                         const RequestTargets& aTargets, std::uint64_t aSeed,
                                         MetricsRegistry& aRegistry)
  : mInternals(std::make_unique<Internals>(aSettings, aTargets, aSeed, aRegistry))
{
}

BalancerRequestCore::~BalancerRequestCore() = default;

BalancerRequestActions BalancerRequestCore::OnRequest(CallerRequest aRequest,
                                                      const RequestTime& aTime)
{
  mInternals->Accept(std::move(aRequest), aTime);
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnCallerCancelled(ReplyHandle aHandle,
                                                              const RequestTime& /*aTime*/)
{
  if (OpenRequest* open = mInternals->FindByHandle(aHandle); open != nullptr && !open->mCancelled) {
    mInternals->Cancel(*open);
  }
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnAgentReply(const AttemptKey& aKey,
                                                         RequestOutcome aOutcome,
                                                         const std::optional<Refusal>& aRefusal,
                                                         ReceivedAnswer aReceived,
                                                         const RequestTime& aTime)
{
  OpenRequest* open = mInternals->TakeAttempt(aKey);
  if (open == nullptr) {
    return mInternals->TakeActions();
  }
  const Refusal refusal = aRefusal.value_or(Refusal{RefusalReason::NoUpstream, Milliseconds(0)});
  switch (aOutcome) {
    case RequestOutcome::Answered:
      mInternals->HandleAnswered(*open, std::move(aReceived), aTime);
      break;
    case RequestOutcome::NotRun:
    case RequestOutcome::Cancelled:
      mInternals->HandleNotRun(*open, refusal, aTime);
      break;
    case RequestOutcome::Unknown:
      mInternals->HandleUnknown(*open, aRefusal, aTime);
      break;
    case RequestOutcome::NotOwner:
      open->mMayHaveRun = open->mMayHaveRunBefore;
      mInternals->Retry(*open, RetryReason::NotOwner, refusal.mRetryAfter, aTime);
      break;
  }
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnAgentLinkFailed(const AttemptKey& aKey, bool aSent,
                                                              const RequestTime& aTime)
{
  if (OpenRequest* open = mInternals->TakeAttempt(aKey)) {
    if (!aSent) {
      open->mMayHaveRun = open->mMayHaveRunBefore;
    }
    mInternals->Retry(*open, aSent ? RetryReason::LinkLost : RetryReason::Unreachable,
                      Milliseconds(0), aTime);
  }
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnTick(const RequestTime& aTime)
{
  // Each pass ends the request or sets its timer to a later time.
  auto& timers = mInternals->mTimers;
  while (!timers.empty() && timers.begin()->first <= aTime.mNow) {
    OpenRequest& open = mInternals->mOpenRequests.at(timers.begin()->second);
    if (aTime.mNow >= open.mDeadline) {
      mInternals->EndOverdue(open);
    } else {
      mInternals->Send(open, aTime);
    }
  }
  return mInternals->TakeActions();
}

bool BalancerRequestCore::Active() const
{
  return !mInternals->mOpenRequests.empty();
}

} // namespace dandelionslip
