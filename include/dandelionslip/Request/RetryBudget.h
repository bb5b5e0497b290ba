// Limits how many retries a balancer makes for each caller of a service.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Request/RequestQueue.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <list>
#include <map>

namespace dandelionslip {

/// Settings of a retry budget.
struct RetryBudgetLimits
{
  double mTokensPerSuccess = 0.1; ///< Tokens earned by each success.
  double mTokensPerSecond = 1;    ///< Tokens earned by time, so that an idle caller can retry.
  double mMaxTokens = 10;         ///< Largest burst of retries.
  /// Largest number of pairs of service and caller that have a budget of their own. The other
  /// callers of a service share one.
  std::size_t mMaxBudgets = 4096;
  Milliseconds mIdle{60'000}; ///< A budget unused for this long can be given to another caller.
};

/// One token bucket for each service and caller; each retry takes a token. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetLimits aLimits = {});

  /// Adds the tokens earned by one success.
  void OnSuccess(ServiceId aService, CallerKey aCaller, TimePoint aNow);

  /// Takes one token; false when there is none.
  bool TryRetry(ServiceId aService, CallerKey aCaller, TimePoint aNow);

  std::size_t TrackedBudgets() const { return mTokenBuckets.size(); }

private:
  using Key = std::pair<ServiceId, CallerKey>;
  struct TokenBucket
  {
    double mTokens = 1;
    TimePoint mUpdated;
    std::list<Key>::iterator mPosition;
  };

  TokenBucket& Refill(TokenBucket& aBucket, TimePoint aNow) const;
  TokenBucket& TokenBucketFor(const Key& aKey, TimePoint aNow);

  RetryBudgetLimits mLimits;
  std::map<Key, TokenBucket> mTokenBuckets;
  std::list<Key> mLeastRecentlyUsed; ///< Keys of mTokenBuckets, least recently used first.
  std::map<ServiceId, TokenBucket> mShared;
};

} // namespace dandelionslip
