// Limits the rate of events.
#include "dandelionslip/Agent/TokenBucket.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>

namespace dandelionslip {

TokenBucket::TokenBucket(double aPerSecond, TimePoint aNow)
  : mPerSecond(aPerSecond)
  , mTokens(Capacity())
  , mFilledAt(aNow)
{
}

void TokenBucket::SetRate(double aPerSecond, TimePoint aNow)
{
  Refill(aNow);
  mPerSecond = aPerSecond;
  mTokens = std::min(mTokens, Capacity());
}

bool TokenBucket::TryTake(TimePoint aNow)
{
  Refill(aNow);
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

RuntimeClock::duration TokenBucket::Interval() const
{
  return std::chrono::duration_cast<RuntimeClock::duration>(
    std::chrono::duration<double>(1.0 / mPerSecond));
}

double TokenBucket::Capacity() const
{
  return std::max(1.0, mPerSecond * Seconds(kBurst));
}

void TokenBucket::Refill(TimePoint aNow)
{
  if (aNow > mFilledAt) {
    mTokens = std::min(Capacity(), mTokens + mPerSecond * Seconds(aNow - mFilledAt));
    mFilledAt = aNow;
  }
}

} // namespace dandelionslip
