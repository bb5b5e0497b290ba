// Opening packets that wait at a balancer for an upstream.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_set>
#include <vector>

namespace dandelionslip {

/// One opening packet that waits.
struct WaitingOpening
{
  FlowKey mFlow;
  std::vector<std::uint8_t> mPacket;
  std::uint32_t mPriority = 0; ///< Of its route; 0 is the highest.
  TimePoint mArrivedAt;
  Milliseconds mMaxWait{0}; ///< Longest wait.
};

/// Keeps waiting openings in the order in which they leave: the most important routes first, and
/// within them the newest. Answers the load of all callers that open their flows again at the same
/// moment. While more arrive than leave, the oldest opening has the least time left: in order of
/// arrival each would leave when its caller's deadline is about to pass, and the few flows that a
/// cold upstream takes would be spent on requests that nobody waits for. The work of a balancer is
/// bounded by the openings that leave, not by those that wait. Not thread-safe.
class OpeningQueue
{
public:
  using Condition = std::function<bool(const WaitingOpening&)>;

  bool Contains(const FlowKey& aFlow) const { return mFlows.contains(aFlow); }
  std::size_t Size() const { return mOpenings.size(); }

  /// Adds the opening unless its flow waits already; returns whether it was added.
  bool Add(WaitingOpening aOpening);

  /// Removes the first aCount openings, in the order above, for which the condition holds.
  std::vector<WaitingOpening> Take(std::size_t aCount, const Condition& aCondition);

  /// Removes the openings that have waited longer than they may.
  std::vector<WaitingOpening> TakeExpired(TimePoint aNow);

private:
  /// Priority, negated time of arrival, and a number that tells openings of the same moment apart.
  using SortKey = std::tuple<std::uint32_t, RuntimeClock::duration, std::uint64_t>;

  std::map<SortKey, WaitingOpening> mOpenings;
  std::unordered_set<FlowKey, FlowKeyHash> mFlows;
  std::uint64_t mNextNumber = 0;
};

} // namespace dandelionslip
