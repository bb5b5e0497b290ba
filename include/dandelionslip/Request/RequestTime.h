// Time of an event, by the monotonic clock and by the wall clock.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>

namespace dandelionslip {

/// Time of one event. Deadlines are compared with mNow. Timestamps of request ids are compared with
/// mWallMs, because another machine may have generated the id.
struct RequestTime
{
  TimePoint mNow;
  std::int64_t mWallMs = 0; ///< Milliseconds since 1970.
};

} // namespace dandelionslip
