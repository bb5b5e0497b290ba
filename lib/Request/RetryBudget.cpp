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
  Bucket& bucket = BucketFor({aService, aCaller}, aNow);
  bucket.mTokens = std::min(mLimits.mMaxTokens, bucket.mTokens + mLimits.mSuccessShare);
}

bool RetryBudget::TryRetry(ServiceId aService, CallerKey aCaller, TimePoint aNow)
{
  Bucket& bucket = BucketFor({aService, aCaller}, aNow);
  // Ten additions of 0.1 in floating point give slightly less than 1.
  constexpr double kTolerance = 1e-9;
  if (bucket.mTokens < 1 - kTolerance) {
    return false;
  }
  bucket.mTokens = std::max(0.0, bucket.mTokens - 1);
  return true;
}

RetryBudget::Bucket& RetryBudget::Refill(Bucket& aBucket, TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.mUpdated;
  aBucket.mTokens =
    std::min(mLimits.mMaxTokens, aBucket.mTokens + elapsed.count() * mLimits.mTokensPerSecond);
  aBucket.mUpdated = aNow;
  return aBucket;
}

RetryBudget::Bucket& RetryBudget::BucketFor(const Key& aKey, TimePoint aNow)
{
  if (const auto found = mBuckets.find(aKey); found != mBuckets.end()) {
    mLeastRecentlyUsed.splice(mLeastRecentlyUsed.end(), mLeastRecentlyUsed,
                              found->second.mPosition);
    return Refill(found->second, aNow);
  }
  if (mBuckets.size() >= mLimits.mMaxCallers) {
    const auto oldest =
      mLeastRecentlyUsed.empty() ? mBuckets.end() : mBuckets.find(mLeastRecentlyUsed.front());
    if (oldest == mBuckets.end() || aNow - oldest->second.mUpdated < mLimits.mIdle) {
      return Refill(mShared.try_emplace(aKey.first, Bucket{1, aNow, {}}).first->second, aNow);
    }
    mLeastRecentlyUsed.pop_front();
    mBuckets.erase(oldest);
  }
  const auto position = mLeastRecentlyUsed.insert(mLeastRecentlyUsed.end(), aKey);
  return mBuckets.emplace(aKey, Bucket{1, aNow, position}).first->second;
}

} // namespace dandelionslip
