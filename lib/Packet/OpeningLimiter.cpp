// Sliding window over openings.
#include "dandelionslip/Packet/OpeningLimiter.h"

namespace dandelionslip {

bool OpeningLimiter::TryOpen(std::size_t aLimit, TimePoint aNow)
{
  while (!mOpened.empty() && aNow - mOpened.front() >= kWindow) {
    mOpened.pop_front();
  }
  if (mOpened.size() >= aLimit) {
    return false;
  }
  mOpened.push_back(aNow);
  return true;
}

} // namespace dandelionslip
