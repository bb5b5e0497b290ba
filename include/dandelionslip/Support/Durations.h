// Durations as numbers.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// A duration in seconds, as rates and metrics state it.
inline double Seconds(RuntimeClock::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace dandelionslip
