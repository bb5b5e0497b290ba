// What an agent tells balancers about its upstream.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>

namespace dandelionslip {

/// State of one upstream, sent to every balancer several times a second.
struct LoadReport
{
  std::string mService;
  std::string mDataCentre;
  bool mAccepts = false; ///< Whether new flows may be sent.
  bool mCold = false;
  std::uint32_t mOpensAllowed = 0;   ///< While cold: new flows that it takes at once.
  std::uint32_t mOpensPerSecond = 0; ///< While cold: new flows that it takes over time.
  Milliseconds mColdLeft{0};         ///< How much longer the upstream stays cold.
  bool mGone = false;                ///< The upstream has ended for good and this agent ends too.
  bool mStarting = false;      ///< The agent has just started and awaits its upstream's heartbeat.
  std::uint32_t mFlows = 0;    ///< Open flows.
  std::uint32_t mRequests = 0; ///< Requests delivered and not answered yet.
  std::uint32_t mSlots = 1;    ///< Requests that the upstream runs at once.
  /// Requests a second that one busy slot completes, in thousandths; 0 while unknown.
  std::uint32_t mMilliRequestsPerSlot = 0;

  bool operator==(const LoadReport&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, LoadReport& aValue)
{
  aVisitor.Field("s", aValue.mService);
  aVisitor.Field("d", aValue.mDataCentre);
  aVisitor.Field("a", aValue.mAccepts);
  aVisitor.Field("c", aValue.mCold);
  aVisitor.Field("o", aValue.mOpensAllowed);
  aVisitor.Field("p", aValue.mOpensPerSecond);
  aVisitor.Field("l", aValue.mColdLeft);
  aVisitor.Field("g", aValue.mGone);
  aVisitor.Field("b", aValue.mStarting);
  aVisitor.Field("f", aValue.mFlows);
  aVisitor.Field("r", aValue.mRequests);
  aVisitor.Field("n", aValue.mSlots, {1, 100'000});
  aVisitor.Field("v", aValue.mMilliRequestsPerSlot);
}

} // namespace dandelionslip
