// Conversion of durations to numbers.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// The duration in seconds, for rates and metrics.
inline double Seconds(RuntimeClock::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace dandelionslip
