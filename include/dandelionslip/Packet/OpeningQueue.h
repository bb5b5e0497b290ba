// Queue of opening packets that wait at a balancer for an upstream.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace dandelionslip {

/// An opening packet that waits.
struct WaitingOpening
{
  FlowKey mFlow;
  std::vector<std::uint8_t> mPacket;
  std::uint32_t mPriority = 0; ///< Of its route; 0 is the highest.
  TimePoint mArrivedAt;
  Milliseconds mMaxWait{0}; ///< TakeExpired() removes the packet after this time.
};

/// Queue of waiting opening packets. Those of the routes with the highest priority leave first, and
/// within a priority the newest.
///
/// Newest first, because the queue grows when all callers open their flows again at once. In order
/// of arrival, each opening packet would then leave just before its caller's deadline, and the few
/// flows that a cold upstream accepts would go to callers that give up before the answer.
///
/// Take() stops after aCount opening packets, so that its cost does not grow with the queue while
/// the condition holds for most of them. TakeExpired() visits all. Not thread-safe.
class OpeningQueue
{
public:
  using Condition = std::function<bool(const WaitingOpening&)>;

  bool Contains(const FlowKey& aFlow) const { return mFlows.contains(aFlow); }
  std::size_t Size() const { return mOpenings.size(); }

  /// Adds the opening packet unless its flow is in the queue already. Returns whether it was added.
  bool Add(WaitingOpening aOpening);

  /// Removes the opening packet of the flow, if there is one.
  void Remove(const FlowKey& aFlow);

  /// Removes and returns the first aCount opening packets for which the condition holds, in the
  /// order given above.
  std::vector<WaitingOpening> Take(std::size_t aCount, const Condition& aCondition);

  /// Removes and returns the opening packets that have waited for longer than mMaxWait.
  std::vector<WaitingOpening> TakeExpired(TimePoint aNow);

private:
  /// Priority, negated time of arrival, and a number that makes the key unique.
  using SortKey = std::tuple<std::uint32_t, RuntimeClock::duration, std::uint64_t>;

  std::map<SortKey, WaitingOpening> mOpenings;
  std::unordered_map<FlowKey, SortKey, FlowKeyHash> mFlows;
  std::uint64_t mNextNumber = 0;
};

} // namespace dandelionslip
