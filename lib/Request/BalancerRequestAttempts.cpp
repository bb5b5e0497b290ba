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

void BalancerRequestCore::Internals::Send(OpenRequest& aOpen, const RequestTime& aTime)
{
  const auto remaining =
    std::chrono::floor<Milliseconds>(aOpen.mDeadline - aTime.mNow) - mSettings.mHopAllowance;
  if (remaining <= Milliseconds(0)) {
    EndOverdue(aOpen);
    return;
  }
  const auto agent = ChooseAgent(aOpen);
  if (!agent) {
    ++aOpen.mTries;
    Retry(aOpen, RetryReason::Unreachable, Milliseconds(0), aTime);
    return;
  }
  const CallerRequest& request = aOpen.mRequest;
  aOpen.mAgent = *agent;
  aOpen.mKey = {aOpen.mId, MakeAttempt(request.mCallerAttempt, aOpen.mTries)};
  ++aOpen.mTries;
  aOpen.mInFlight = true;
  aOpen.mMayHaveRunBefore = std::exchange(aOpen.mMayHaveRun, true);
  ++mAttemptsInFlight[*agent];
  SetTimer(aOpen, aOpen.mDeadline);
  mActions.emplace_back(SendToAgent{*agent, aOpen.mKey, request.mService, request.mIdempotent,
                                    aOpen.mMayHaveRunBefore, remaining, request.mCaller,
                                    request.mClass, request.mBody});
}

std::optional<std::string> BalancerRequestCore::Internals::ChooseAgent(const OpenRequest& aOpen)
{
  const ServiceId service = aOpen.mRequest.mService;
  if (!aOpen.mRequest.mIdempotent || (aOpen.mTryOwnerFirst && aOpen.mTries == 0)) {
    return mTargets.OwnerOf(service, aOpen.mId);
  }
  std::vector<std::string> candidates = mTargets.CandidatesOf(service);
  if (candidates.size() > 1) {
    std::erase(candidates, aOpen.mAgent);
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

// Returns the request whose attempt in flight has the key, and ends the attempt. Null when there is
// none.
OpenRequest* BalancerRequestCore::Internals::TakeAttempt(const AttemptKey& aKey)
{
  const auto found = mByCallerAttempt.find({aKey.mId, aKey.mAttempt >> kTryBits});
  OpenRequest* open = found == mByCallerAttempt.end() ? nullptr : &mOpenRequests.at(found->second);
  if (open == nullptr || !open->mInFlight || open->mKey != aKey) {
    const bool givenUp = open != nullptr && aKey.mAttempt < open->mKey.mAttempt;
    mCounters.CountDrop(givenUp ? RequestDrop::LateAnswer : RequestDrop::UnmatchedAnswer);
    return nullptr;
  }
  open->mInFlight = false;
  --mAttemptsInFlight[open->mAgent];
  return open;
}

void BalancerRequestCore::Internals::HandleAnswered(OpenRequest& aOpen, ReceivedAnswer aReceived,
                                                    const RequestTime& aTime)
{
  if (aReceived.IsComplete()) {
    mBudget.OnSuccess(aOpen.mRequest.mService, aOpen.mRequest.mCaller, aTime.mNow);
    Finish(aOpen, AnsweredReply(std::move(aReceived.mAnswer)));
    return;
  }
  mCounters.CountDrop(RequestDrop::Truncated);
  Retry(aOpen, RetryReason::LinkLost, Milliseconds(0), aTime);
}

void BalancerRequestCore::Internals::HandleNotRun(OpenRequest& aOpen, const Refusal& aRefusal,
                                                  const RequestTime& aTime)
{
  // A refusal by the owner of the bucket covers all lower attempts, because its record does.
  // Idempotent requests have no record, so a refusal says nothing about their earlier attempts.
  aOpen.mMayHaveRun = aOpen.mRequest.mIdempotent && aOpen.mMayHaveRunBefore;
  aOpen.mLastRefusal = aRefusal;
  if (!IsTransient(aRefusal.mReason)) {
    FinishWithoutAnswer(aOpen);
    return;
  }
  Retry(aOpen, RetryReason::Refused, aRefusal.mRetryAfter, aTime);
}

void BalancerRequestCore::Internals::HandleUnknown(OpenRequest& aOpen,
                                                   const std::optional<Refusal>& aRefusal,
                                                   const RequestTime& aTime)
{
  aOpen.mLastRefusal = aRefusal;
  if (!aOpen.mRequest.mIdempotent) {
    FinishWithoutAnswer(aOpen);
    return;
  }
  Retry(aOpen, RetryReason::Failed, Milliseconds(0), aTime);
}

void BalancerRequestCore::Internals::Retry(OpenRequest& aOpen, RetryReason aReason,
                                           Milliseconds aMinDelay, const RequestTime& aTime)
{
  if (aOpen.mCancelled) {
    FinishWithoutAnswer(aOpen);
    return;
  }
  if (aOpen.mTries >= mSettings.mMaxTries) {
    DenyRetry(aOpen, RetryDenial::Tries);
    return;
  }
  const RuntimeClock::duration delay = std::max<RuntimeClock::duration>(
    aMinDelay, FullJitterDelay(aOpen.mTries - 1, mSettings.mBackoff, mRandom));
  if (aTime.mNow + delay + mSettings.mHopAllowance >= aOpen.mDeadline) {
    DenyRetry(aOpen, RetryDenial::Deadline);
    return;
  }
  // An attempt at an agent that does not own the bucket puts no load on an upstream, so the retry
  // takes nothing from the budget.
  const CallerRequest& request = aOpen.mRequest;
  if (aReason != RetryReason::NotOwner &&
      !mBudget.TryRetry(request.mService, request.mCaller, aTime.mNow)) {
    DenyRetry(aOpen, RetryDenial::Budget);
    return;
  }
  mCounters.CountRetry(aReason);
  // Even without a delay the retry waits for a later tick, so that one tick makes at most one
  // attempt for a request.
  SetTimer(aOpen, aTime.mNow + std::max<RuntimeClock::duration>(delay, Milliseconds(1)));
}

void BalancerRequestCore::Internals::DenyRetry(OpenRequest& aOpen, RetryDenial aReason)
{
  mCounters.CountDenial(aReason);
  FinishWithoutAnswer(aOpen);
}

} // namespace dandelionslip
