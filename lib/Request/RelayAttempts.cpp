// Attempts of a request: choice of the agent, matching of answers, retries.
#include "RelayInternals.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Whether a later attempt of a refused request can succeed within its deadline.
bool IsPassing(RefusalReason aReason)
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

void BalancerRequestCore::Internals::Send(RelayExchange& aExchange, const RequestTime& aTime)
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
  ++mInFlight[*agent];
  WakeAt(aExchange, aExchange.mDeadline);
  mActions.emplace_back(SendToAgent{*agent, aExchange.mKey, request.mService, request.mIdempotent,
                                    aExchange.mMayHaveRunBefore, remaining, request.mCaller,
                                    request.mClass, request.mBody});
}

std::optional<std::string> BalancerRequestCore::Internals::ChooseAgent(
  const RelayExchange& aExchange)
{
  const ServiceId service = aExchange.mRequest.mService;
  if (!aExchange.mRequest.mIdempotent || (aExchange.mFixedHome && aExchange.mTries == 0)) {
    return mTargets.OwnerOf(service, aExchange.mId);
  }
  std::vector<std::string> candidates = mTargets.CandidatesOf(service);
  if (candidates.size() > 1) {
    std::erase(candidates, aExchange.mAgent);
  }
  if (candidates.empty()) {
    return {};
  }
  return BetterOfTwo(candidates);
}

std::string BalancerRequestCore::Internals::BetterOfTwo(const std::vector<std::string>& aCandidates)
{
  const std::size_t first = mRandom.Below(aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  const std::size_t second =
    (first + 1 + mRandom.Below(aCandidates.size() - 1)) % aCandidates.size();
  const bool firstBetter = mInFlight[aCandidates[first]] <= mInFlight[aCandidates[second]];
  return aCandidates[firstBetter ? first : second];
}

// Ends the newest attempt of a request; null when the key is not that of an attempt in flight.
RelayExchange* BalancerRequestCore::Internals::TakeAttempt(const AttemptKey& aKey)
{
  const auto found = mByCallerAttempt.find({aKey.mId, aKey.mAttempt >> kTryBits});
  RelayExchange* exchange =
    found == mByCallerAttempt.end() ? nullptr : &mExchanges.at(found->second);
  if (exchange == nullptr || !exchange->mInFlight || exchange->mKey != aKey) {
    const bool givenUp = exchange != nullptr && aKey.mAttempt < exchange->mKey.mAttempt;
    mCounters.CountDrop(givenUp ? RequestDrop::LateAnswer : RequestDrop::UnmatchedAnswer);
    return nullptr;
  }
  exchange->mInFlight = false;
  --mInFlight[exchange->mAgent];
  return exchange;
}

void BalancerRequestCore::Internals::HandleAnswered(RelayExchange& aExchange,
                                                    ReceivedAnswer aReceived,
                                                    const RequestTime& aTime)
{
  if (aReceived.IsWhole()) {
    mBudget.OnSuccess(aExchange.mRequest.mService, aExchange.mRequest.mCaller, aTime.mNow);
    Finish(aExchange, AnsweredWith(std::move(aReceived.mAnswer)));
    return;
  }
  mCounters.CountDrop(RequestDrop::CutShort);
  Retry(aExchange, RetryReason::LinkLost, Milliseconds(0), aTime);
}

void BalancerRequestCore::Internals::HandleNotRun(RelayExchange& aExchange, const Refusal& aRefusal,
                                                  const RequestTime& aTime)
{
  // The home agent's record covers all lower attempts. Attempts of an idempotent request have no
  // record, so the refusal says nothing about earlier ones.
  aExchange.mMayHaveRun = aExchange.mRequest.mIdempotent && aExchange.mMayHaveRunBefore;
  aExchange.mLastRefusal = aRefusal;
  if (!IsPassing(aRefusal.mReason)) {
    FinishWithoutAnswer(aExchange);
    return;
  }
  Retry(aExchange, RetryReason::Refused, aRefusal.mRetryAfter, aTime);
}

void BalancerRequestCore::Internals::HandleUnknown(RelayExchange& aExchange,
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

void BalancerRequestCore::Internals::Retry(RelayExchange& aExchange, RetryReason aReason,
                                           Milliseconds aAtLeast, const RequestTime& aTime)
{
  if (aExchange.mCancelled) {
    FinishWithoutAnswer(aExchange);
    return;
  }
  if (aExchange.mTries >= mSettings.mMaxTries) {
    Deny(aExchange, RetryDenial::Tries);
    return;
  }
  const RuntimeClock::duration delay = std::max<RuntimeClock::duration>(
    aAtLeast, FullJitterDelay(aExchange.mTries - 1, mSettings.mBackoff, mRandom));
  if (aTime.mNow + delay + mSettings.mHopAllowance >= aExchange.mDeadline) {
    Deny(aExchange, RetryDenial::Deadline);
    return;
  }
  // Going on to the right agent adds no load to an upstream and is not charged.
  const CallerRequest& request = aExchange.mRequest;
  if (aReason != RetryReason::NotOwner &&
      !mBudget.TryRetry(request.mService, request.mCaller, aTime.mNow)) {
    Deny(aExchange, RetryDenial::Budget);
    return;
  }
  mCounters.CountRetry(aReason);
  // A delay of nothing still ends the present step, so that a tick makes one attempt at most.
  WakeAt(aExchange, aTime.mNow + std::max<RuntimeClock::duration>(delay, Milliseconds(1)));
}

void BalancerRequestCore::Internals::Deny(RelayExchange& aExchange, RetryDenial aReason)
{
  mCounters.CountDenial(aReason);
  FinishWithoutAnswer(aExchange);
}

} // namespace dandelionslip
