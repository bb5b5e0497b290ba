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
  const bool hasId = id.has_value();
  if (hasId && mByCallerAttempt.contains({*id, aRequest.mCallerAttempt})) {
    mCounters.CountDrop(RequestDrop::DuplicateAttempt);
    if (!aRequest.mIdempotent) {
      Reply(aRequest.mHandle, *id, UnknownReply());
      return;
    }
    id.reset();
  }
  const RequestId used = id ? *id : RequestId::Make(aTime.mWallMs, mRandom);
  const std::uint64_t token = mNextToken++;
  CallerExchange& exchange = mExchanges[token];
  exchange.mToken = token;
  exchange.mId = used;
  exchange.mTryOwnerFirst = !aRequest.mIdempotent || hasId;
  exchange.mDeadline = aTime.mNow + aRequest.mRemaining;
  // An earlier attempt of the caller, perhaps through another balancer, may run or have run.
  exchange.mMayHaveRun = hasId && aRequest.mCallerAttempt > 1;
  mByHandle[aRequest.mHandle] = token;
  mByCallerAttempt[{used, aRequest.mCallerAttempt}] = token;
  exchange.mRequest = std::move(aRequest);
  Send(exchange, aTime);
}

void BalancerRequestCore::Internals::Cancel(CallerExchange& aExchange)
{
  aExchange.mCancelled = true;
  if (!aExchange.mInFlight) {
    FinishWithoutAnswer(aExchange);
    return;
  }
  mActions.emplace_back(CancelAtAgent{aExchange.mAgent, aExchange.mKey});
}

void BalancerRequestCore::Internals::Finish(CallerExchange& aExchange, RequestReply aReply)
{
  if (aExchange.mInFlight) {
    --mAttemptsInFlight[aExchange.mAgent];
  }
  mTimers.erase({aExchange.mTimerAt, aExchange.mToken});
  mByHandle.erase(aExchange.mRequest.mHandle);
  mByCallerAttempt.erase({aExchange.mId, aExchange.mRequest.mCallerAttempt});
  Reply(aExchange.mRequest.mHandle, aExchange.mId, std::move(aReply));
  mExchanges.erase(aExchange.mToken);
}

// Replies "unknown" when an attempt may have run, otherwise "cancelled" or "not run".
void BalancerRequestCore::Internals::FinishWithoutAnswer(CallerExchange& aExchange)
{
  if (aExchange.mMayHaveRun) {
    RequestReply reply = UnknownReply(aExchange.mLastRefusal);
    reply.mDigest = aExchange.mDigest;
    Finish(aExchange, std::move(reply));
    return;
  }
  if (aExchange.mCancelled) {
    Finish(aExchange, CancelledReply());
    return;
  }
  const Refusal refusal =
    aExchange.mLastRefusal.value_or(Refusal{RefusalReason::NoUpstream, Milliseconds(0)});
  mCounters.CountRefusal(refusal.mReason);
  Finish(aExchange, NotRunReply(refusal));
}

void BalancerRequestCore::Internals::EndOverdue(CallerExchange& aExchange)
{
  if (aExchange.mInFlight) {
    mActions.emplace_back(CancelAtAgent{aExchange.mAgent, aExchange.mKey});
  }
  if (!aExchange.mLastRefusal) {
    aExchange.mLastRefusal = Refusal{RefusalReason::Deadline, Milliseconds(0)};
  }
  FinishWithoutAnswer(aExchange);
}

void BalancerRequestCore::Internals::Reply(ReplyHandle aHandle, const RequestId& aId,
                                           RequestReply aReply)
{
  mCounters.CountOutcome(aReply.mOutcome);
  mActions.emplace_back(ReplyToCaller{aHandle, aId, std::move(aReply)});
}

CallerExchange* BalancerRequestCore::Internals::FindByHandle(ReplyHandle aHandle)
{
  const auto found = mByHandle.find(aHandle);
  return found == mByHandle.end() ? nullptr : &mExchanges.at(found->second);
}

void BalancerRequestCore::Internals::SetTimer(CallerExchange& aExchange, TimePoint aWhen)
{
  mTimers.erase({aExchange.mTimerAt, aExchange.mToken});
  aExchange.mTimerAt = aWhen;
  mTimers.emplace(aWhen, aExchange.mToken);
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
  if (CallerExchange* exchange = mInternals->FindByHandle(aHandle);
      exchange != nullptr && !exchange->mCancelled) {
    mInternals->Cancel(*exchange);
  }
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnAgentReply(const AttemptKey& aKey,
                                                         RequestOutcome aOutcome,
                                                         const std::optional<Refusal>& aRefusal,
                                                         ReceivedAnswer aReceived,
                                                         const RequestTime& aTime)
{
  CallerExchange* exchange = mInternals->TakeAttempt(aKey);
  if (exchange == nullptr) {
    return mInternals->TakeActions();
  }
  const Refusal refusal = aRefusal.value_or(Refusal{RefusalReason::NoUpstream, Milliseconds(0)});
  switch (aOutcome) {
    case RequestOutcome::Answered:
      mInternals->HandleAnswered(*exchange, std::move(aReceived), aTime);
      break;
    case RequestOutcome::NotRun:
    case RequestOutcome::Cancelled:
      mInternals->HandleNotRun(*exchange, refusal, aTime);
      break;
    case RequestOutcome::Unknown:
      mInternals->HandleUnknown(*exchange, aRefusal, aTime);
      break;
    case RequestOutcome::NotOwner:
      exchange->mMayHaveRun = exchange->mMayHaveRunBefore;
      mInternals->Retry(*exchange, RetryReason::NotOwner, refusal.mRetryAfter, aTime);
      break;
  }
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnAgentLinkFailed(const AttemptKey& aKey, bool aSent,
                                                              const RequestTime& aTime)
{
  if (CallerExchange* exchange = mInternals->TakeAttempt(aKey)) {
    if (!aSent) {
      exchange->mMayHaveRun = exchange->mMayHaveRunBefore;
    }
    mInternals->Retry(*exchange, aSent ? RetryReason::LinkLost : RetryReason::Unreachable,
                      Milliseconds(0), aTime);
  }
  return mInternals->TakeActions();
}

BalancerRequestActions BalancerRequestCore::OnTick(const RequestTime& aTime)
{
  // Each pass ends the exchange or sets its timer to a later time.
  auto& timers = mInternals->mTimers;
  while (!timers.empty() && timers.begin()->first <= aTime.mNow) {
    CallerExchange& exchange = mInternals->mExchanges.at(timers.begin()->second);
    if (aTime.mNow >= exchange.mDeadline) {
      mInternals->EndOverdue(exchange);
    } else {
      mInternals->Send(exchange, aTime);
    }
  }
  return mInternals->TakeActions();
}

bool BalancerRequestCore::Active() const
{
  return !mInternals->mExchanges.empty();
}

} // namespace dandelionslip
