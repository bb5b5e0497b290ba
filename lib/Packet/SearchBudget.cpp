// Search budget, derived from processor and link.
#include "dandelionslip/Packet/SearchBudget.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Fractions of the processor and the link that searches may use; callers' packets need the rest.
constexpr double kProcessorFraction = 0.5;
constexpr double kLinkFraction = 0.25;

// Processor time of a query and its answer: docs/CAPACITY.md gives 28.9 us per datagram for a
// balancer.
constexpr double kSecondsPerQuery = 60e-6;

// A query has 28 bytes of IP and UDP headers, the message header and a FlowMessage with one flow.
constexpr double kBitsPerQuery = 50 * 8.0;

constexpr double kMega = 1e6;

} // namespace

double SearchBudget::QueriesPerSecond(const NodeCapacity& aCapacity)
{
  const double processor = kProcessorFraction * aCapacity.mProcessorShare / kSecondsPerQuery;
  const double link = kLinkFraction * aCapacity.mLinkMbps * kMega / kBitsPerQuery;
  return std::max(1.0, std::min(processor, link));
}

SearchBudget::SearchBudget(const NodeCapacity& aCapacity, TimePoint aNow)
  : mBucket(QueriesPerSecond(aCapacity), aNow)
{
}

} // namespace dandelionslip
