// Sliding window over openings.
#include "dandelionslip/Packet/OpeningLimiter.h"

#include <algorithm>

namespace dandelionslip {

std::size_t OpeningLimiter::Allowed(std::size_t aLimit, TimePoint aNow) const
{
  if (aNow < mBlockedUntil) {
    return 0;
  }
  const auto counted = static_cast<std::size_t>(std::count_if(
    mOpened.begin(), mOpened.end(), [&](TimePoint aOpened) { return aNow - aOpened < kWindow; }));
  return counted >= aLimit ? 0 : aLimit - counted;
}

bool OpeningLimiter::TryOpen(std::size_t aLimit, TimePoint aNow)
{
  while (!mOpened.empty() && aNow - mOpened.front() >= kWindow) {
    mOpened.pop_front();
  }
  if (Allowed(aLimit, aNow) == 0) {
    return false;
  }
  mOpened.push_back(aNow);
  return true;
}

} // namespace dandelionslip
