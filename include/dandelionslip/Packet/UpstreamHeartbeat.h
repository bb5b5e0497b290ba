// What an upstream says of itself.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>

namespace dandelionslip {

/// One heartbeat of the upstream beside an agent.
struct UpstreamHeartbeat
{
  std::string mId; ///< May be the same after a restart; mStartedMs then differs.
  std::string mService;
  bool mDraining = false;
  Milliseconds mColdLeft{0};   ///< How much longer the upstream stays cold.
  std::uint32_t mSlots = 1;    ///< Requests that it runs at once.
  std::int64_t mStartedMs = 0; ///< Wall-clock milliseconds of the start, by the upstream's clock.
  std::uint64_t mSequence = 0; ///< Increases with each heartbeat since the start.
};

} // namespace dandelionslip
