// Attempts of a request: choice of the agent, handling of replies, retries.
#include "BalancerRequestInternals.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Whether a request that was refused for this reason can succeed in a later attempt.
bool IsTransient(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoUpstream:
    case RefusalReason::NoControl:
    case RefusalReason::SlotsFull:
    case RefusalReason::Cold:
    case RefusalReason::RateLimited:
    case RefusalReason::Draining:
    case RefusalReason::TransferPending:
    case RefusalReason::UpstreamShed:
      return true;
    default:
      return false;
  }
}

} // namespace

void BalancerRequestCore::Internals::Send(CallerExchange& aExchange, const RequestTime& aTime)
{
  const auto remaining =
    std::chrono::floor<Milliseconds>(aExchange.mDeadline - aTime.mNow) - mSettings.mHopAllowance;
  if (remaining <= Milliseconds(0)) {
    EndOverdue(aExchange);
    return;
  }
  const auto agent = ChooseAgent(aExchange);
  if (!agent) {
    ++aExchange.mTries;
    Retry(aExchange, RetryReason::Unreachable, Milliseconds(0), aTime);
    return;
  }
  const CallerRequest& request = aExchange.mRequest;
  aExchange.mAgent = *agent;
  aExchange.mKey = {aExchange.mId, MakeAttempt(request.mCallerAttempt, aExchange.mTries)};
  ++aExchange.mTries;
  aExchange.mInFlight = true;
  aExchange.mMayHaveRunBefore = std::exchange(aExchange.mMayHaveRun, true);
  ++mAttemptsInFlight[*agent];
  SetTimer(aExchange, aExchange.mDeadline);
  mActions.emplace_back(SendToAgent{*agent, aExchange.mKey, request.mService, request.mIdempotent,
                                    aExchange.mMayHaveRunBefore, remaining, request.mCaller,
                                    request.mClass, request.mBody});
}

std::optional<std::string> BalancerRequestCore::Internals::ChooseAgent(
  const CallerExchange& aExchange)
{
  const ServiceId service = aExchange.mRequest.mService;
  if (!aExchange.mRequest.mIdempotent || (aExchange.mTryOwnerFirst && aExchange.mTries == 0)) {
    return mTargets.OwnerOf(service, aExchange.mId);
  }
  std::vector<std::string> candidates = mTargets.CandidatesOf(service);
  if (candidates.size() > 1) {
    std::erase(candidates, aExchange.mAgent);
  }
  if (candidates.empty()) {
    return {};
  }
  return ChooseLessLoaded(candidates);
}

// Of two random candidates, returns the one with fewer attempts in flight.
std::string BalancerRequestCore::Internals::ChooseLessLoaded(
  const std::vector<std::string>& aCandidates)
{
  const std::size_t first = mRandom.Below(aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  const std::size_t second =
    (first + 1 + mRandom.Below(aCandidates.size() - 1)) % aCandidates.size();
  const bool firstBetter =
    mAttemptsInFlight[aCandidates[first]] <= mAttemptsInFlight[aCandidates[second]];
  return aCandidates[firstBetter ? first : second];
}

// Returns the exchange whose attempt in flight has the key, and ends the attempt. Null when there
// is none.
CallerExchange* BalancerRequestCore::Internals::TakeAttempt(const AttemptKey& aKey)
{
  const auto found = mByCallerAttempt.find({aKey.mId, aKey.mAttempt >> kTryBits});
  CallerExchange* exchange =
    found == mByCallerAttempt.end() ? nullptr : &mExchanges.at(found->second);
  if (exchange == nullptr || !exchange->mInFlight || exchange->mKey != aKey) {
    const bool givenUp = exchange != nullptr && aKey.mAttempt < exchange->mKey.mAttempt;
    mCounters.CountDrop(givenUp ? RequestDrop::LateAnswer : RequestDrop::UnmatchedAnswer);
    return nullptr;
  }
  exchange->mInFlight = false;
  --mAttemptsInFlight[exchange->mAgent];
  return exchange;
}

void BalancerRequestCore::Internals::HandleAnswered(CallerExchange& aExchange,
                                                    ReceivedAnswer aReceived,
                                                    const RequestTime& aTime)
{
  if (aReceived.IsComplete()) {
    mBudget.OnSuccess(aExchange.mRequest.mService, aExchange.mRequest.mCaller, aTime.mNow);
    Finish(aExchange, AnsweredReply(std::move(aReceived.mAnswer)));
    return;
  }
  mCounters.CountDrop(RequestDrop::Truncated);
  Retry(aExchange, RetryReason::LinkLost, Milliseconds(0), aTime);
}

void BalancerRequestCore::Internals::HandleNotRun(CallerExchange& aExchange,
                                                  const Refusal& aRefusal, const RequestTime& aTime)
{
  // A refusal by the owner of the bucket covers all lower attempts, because its record does.
  // Idempotent requests have no record, so a refusal says nothing about their earlier attempts.
  aExchange.mMayHaveRun = aExchange.mRequest.mIdempotent && aExchange.mMayHaveRunBefore;
  aExchange.mLastRefusal = aRefusal;
  if (!IsTransient(aRefusal.mReason)) {
    FinishWithoutAnswer(aExchange);
    return;
  }
  Retry(aExchange, RetryReason::Refused, aRefusal.mRetryAfter, aTime);
}

void BalancerRequestCore::Internals::HandleUnknown(CallerExchange& aExchange,
                                                   const std::optional<Refusal>& aRefusal,
                                                   const RequestTime& aTime)
{
  aExchange.mLastRefusal = aRefusal;
  if (!aExchange.mRequest.mIdempotent) {
    FinishWithoutAnswer(aExchange);
    return;
  }
  Retry(aExchange, RetryReason::Failed, Milliseconds(0), aTime);
}

void BalancerRequestCore::Internals::Retry(CallerExchange& aExchange, RetryReason aReason,
                                           Milliseconds aAtLeast, const RequestTime& aTime)
{
  if (aExchange.mCancelled) {
    FinishWithoutAnswer(aExchange);
    return;
  }
  if (aExchange.mTries >= mSettings.mMaxTries) {
    DenyRetry(aExchange, RetryDenial::Tries);
    return;
  }
  const RuntimeClock::duration delay = std::max<RuntimeClock::duration>(
    aAtLeast, FullJitterDelay(aExchange.mTries - 1, mSettings.mBackoff, mRandom));
  if (aTime.mNow + delay + mSettings.mHopAllowance >= aExchange.mDeadline) {
    DenyRetry(aExchange, RetryDenial::Deadline);
    return;
  }
  // An attempt at an agent that does not own the bucket puts no load on an upstream, so the retry
  // takes nothing from the budget.
  const CallerRequest& request = aExchange.mRequest;
  if (aReason != RetryReason::NotOwner &&
      !mBudget.TryRetry(request.mService, request.mCaller, aTime.mNow)) {
    DenyRetry(aExchange, RetryDenial::Budget);
    return;
  }
  mCounters.CountRetry(aReason);
  // Even without a delay the retry waits for a later tick, so that one tick makes at most one
  // attempt for a request.
  SetTimer(aExchange, aTime.mNow + std::max<RuntimeClock::duration>(delay, Milliseconds(1)));
}

void BalancerRequestCore::Internals::DenyRetry(CallerExchange& aExchange, RetryDenial aReason)
{
  mCounters.CountDenial(aReason);
  FinishWithoutAnswer(aExchange);
}

} // namespace dandelionslip
