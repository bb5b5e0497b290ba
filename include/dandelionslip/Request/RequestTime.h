// The two readings of time that request cores work with.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>

namespace dandelionslip {

/// Time of one event. Deadlines use mNow; request ids and record retention use mWallMs, because
/// the timestamp of an id comes from another machine.
struct RequestTime
{
  TimePoint mNow;
  std::int64_t mWallMs = 0; ///< Milliseconds since 1970.
};

} // namespace dandelionslip
