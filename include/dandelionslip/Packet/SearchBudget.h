// Bounds how many agents a balancer may ask for flows that it does not know.
#pragma once

#include "dandelionslip/Agent/TokenBucket.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>

namespace dandelionslip {

/// What the VM of a balancer can carry.
struct NodeCapacity
{
  double mProcessorShare = 1.0; ///< Of a core.
  double mLinkMbps = 1'000.0;
};

/// Queries that one balancer may send a second when a search must ask many agents, from the
/// capacity of its VM. Answers the load after a loss of power, when callers send on flows that
/// nobody holds: without a bound the queries fill the link, answers are lost, and searches begin
/// anew.
class SearchBudget
{
public:
  SearchBudget(const NodeCapacity& aCapacity, TimePoint aNow);

  /// Queries a second for a VM of this capacity.
  static double QueriesPerSecond(const NodeCapacity& aCapacity);

  bool TryTake(TimePoint aNow) { return mBucket.TryTake(aNow); }

private:
  TokenBucket mBucket;
};

} // namespace dandelionslip
