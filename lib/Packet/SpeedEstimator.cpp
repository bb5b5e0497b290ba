// Speed of a slot, from completed requests and busy time.
#include "dandelionslip/Packet/SpeedEstimator.h"

#include <algorithm>
#include <cmath>

namespace dandelionslip {

void SpeedEstimator::OnActiveChanged(std::uint32_t aActive, std::uint32_t aSlots, TimePoint aNow)
{
  const double busy = std::chrono::duration<double>(aNow - mChangedAt).count() * mBusySlots;
  mChangedAt = aNow;
  mBusySlots = std::min(aActive, aSlots);
  if (busy <= 0) {
    return;
  }
  const double kept = std::exp2(-busy / kHalfLifeSeconds);
  mCompleted *= kept;
  mBusySeconds = mBusySeconds * kept + busy;
}

double SpeedEstimator::RequestsPerSlotSecond() const
{
  return mCompleted < kMinCompleted || mBusySeconds <= 0 ? 0.0 : mCompleted / mBusySeconds;
}

} // namespace dandelionslip
