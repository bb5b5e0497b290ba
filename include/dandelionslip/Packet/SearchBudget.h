// Limits the queries that a balancer sends in searches for unknown flows.
#pragma once

#include "dandelionslip/Agent/TokenBucket.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>

namespace dandelionslip {

/// Processor and network capacity of a balancer's VM.
struct NodeCapacity
{
  double mProcessorShare = 1.0; ///< Fraction of a core.
  double mLinkMbps = 1'000.0;
};

/// Rate limit for the queries of searches that must query many agents, derived from the capacity of
/// the balancer's VM. After a loss of power, callers keep sending packets of flows that no upstream
/// holds: without a limit, queries fill the link, answers are lost, and searches start over.
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
