// Sliding-window rate limiter for opened flows.
#include "dandelionslip/Packet/OpeningLimiter.h"

#include <algorithm>

namespace dandelionslip {

std::size_t OpeningLimiter::Remaining(std::size_t aLimit, TimePoint aNow) const
{
  if (aNow < mBlockedUntil) {
    return 0;
  }
  const auto counted = static_cast<std::size_t>(
    std::count_if(mOpenings.begin(), mOpenings.end(),
                  [&](TimePoint aOpened) { return aNow - aOpened < kWindow; }));
  return counted >= aLimit ? 0 : aLimit - counted;
}

void OpeningLimiter::NoteOpening(TimePoint aNow)
{
  while (!mOpenings.empty() && aNow - mOpenings.front() >= kWindow) {
    mOpenings.pop_front();
  }
  mOpenings.push_back(aNow);
}

} // namespace dandelionslip
