// What an agent tells balancers about its upstream.
#pragma once

#include "dandelionslip/Support/Fields.h"

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
  aVisitor.Field("f", aValue.mFlows);
  aVisitor.Field("r", aValue.mRequests);
  aVisitor.Field("n", aValue.mSlots, {1, 100'000});
  aVisitor.Field("v", aValue.mMilliRequestsPerSlot);
}

} // namespace dandelionslip
