// How old the input may be that a process reads.
#include "dandelionslip/Support/InputAge.h"

#include <algorithm>

namespace dandelionslip {

InputAge::InputAge(TimePoint aNow)
  : mStartedAt(aNow)
{
}

void InputAge::NoteTurn(TimePoint aNow)
{
  mTurns.push_back(aNow);
  while (mTurns.size() > kTurns && aNow - mTurns[kTurns] > kHorizon) {
    mTurns.pop_front();
    mForgotTurns = true;
  }
}

TimePoint InputAge::EarliestArrival(TimePoint aReadAt) const
{
  const auto later = std::upper_bound(mTurns.begin(), mTurns.end(), aReadAt);
  if (std::distance(mTurns.begin(), later) >= static_cast<std::ptrdiff_t>(kTurns)) {
    return *(later - kTurns);
  }
  return mForgotTurns ? TimePoint::min() : mStartedAt;
}

} // namespace dandelionslip
