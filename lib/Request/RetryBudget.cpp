// Token buckets that limit retries.
#include "dandelionslip/Request/RetryBudget.h"

#include <algorithm>

namespace dandelionslip {

RetryBudget::RetryBudget(RetryBudgetLimits aLimits)
  : mLimits(aLimits)
{
}

void RetryBudget::OnSuccess(ServiceId aService, CallerKey aCaller, TimePoint aNow)
{
  TokenBucket& bucket = TokenBucketFor({aService, aCaller}, aNow);
  bucket.mTokens = std::min(mLimits.mMaxTokens, bucket.mTokens + mLimits.mTokensPerSuccess);
}

bool RetryBudget::TryRetry(ServiceId aService, CallerKey aCaller, TimePoint aNow)
{
  TokenBucket& bucket = TokenBucketFor({aService, aCaller}, aNow);
  // Ten additions of 0.1 in floating point give slightly less than 1.
  constexpr double kTolerance = 1e-9;
  if (bucket.mTokens < 1 - kTolerance) {
    return false;
  }
  bucket.mTokens = std::max(0.0, bucket.mTokens - 1);
  return true;
}

RetryBudget::TokenBucket& RetryBudget::Refill(TokenBucket& aBucket, TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.mUpdated;
  aBucket.mTokens =
    std::min(mLimits.mMaxTokens, aBucket.mTokens + elapsed.count() * mLimits.mTokensPerSecond);
  aBucket.mUpdated = aNow;
  return aBucket;
}

RetryBudget::TokenBucket& RetryBudget::TokenBucketFor(const Key& aKey, TimePoint aNow)
{
  if (const auto found = mTokenBuckets.find(aKey); found != mTokenBuckets.end()) {
    mLeastRecentlyUsed.splice(mLeastRecentlyUsed.end(), mLeastRecentlyUsed,
                              found->second.mPosition);
    return Refill(found->second, aNow);
  }
  if (mTokenBuckets.size() >= mLimits.mMaxBudgets) {
    const auto oldest = mLeastRecentlyUsed.empty() ? mTokenBuckets.end()
                                                   : mTokenBuckets.find(mLeastRecentlyUsed.front());
    if (oldest == mTokenBuckets.end() || aNow - oldest->second.mUpdated < mLimits.mIdle) {
      return Refill(mShared.try_emplace(aKey.first, TokenBucket{1, aNow, {}}).first->second, aNow);
    }
    mLeastRecentlyUsed.pop_front();
    mTokenBuckets.erase(oldest);
  }
  const auto position = mLeastRecentlyUsed.insert(mLeastRecentlyUsed.end(), aKey);
  return mTokenBuckets.emplace(aKey, TokenBucket{1, aNow, position}).first->second;
}

} // namespace dandelionslip
