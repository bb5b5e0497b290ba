// Queue of opening packets that wait at a balancer for an upstream.
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

/// An opening packet that waits.
struct WaitingOpening
{
  FlowKey mFlow;
  std::vector<std::uint8_t> mPacket;
  std::uint32_t mPriority = 0; ///< Of its route; 0 is the highest.
  TimePoint mArrivedAt;
  Milliseconds mMaxWait{0}; ///< The opening is reset after this time.
};

/// Queue of waiting openings: the routes with the highest priority leave first, and within a
/// priority the newest openings.
///
/// Newest first serves the load when all callers open their flows again at the same moment. While
/// more openings arrive than leave, the oldest has the least time left. In order of arrival, each
/// would leave just before its caller's deadline, and the few flows that a cold upstream accepts
/// would be spent on requests that nobody waits for any more.
///
/// The work of a balancer is bounded by the openings that leave, not by those that wait. Not
/// thread-safe.
class OpeningQueue
{
public:
  using Condition = std::function<bool(const WaitingOpening&)>;

  bool Contains(const FlowKey& aFlow) const { return mFlows.contains(aFlow); }
  std::size_t Size() const { return mOpenings.size(); }

  /// Adds the opening unless its flow is in the queue already. Returns whether it was added.
  bool Add(WaitingOpening aOpening);

  /// Removes and returns the first aCount openings for which the condition holds, in the order
  /// given above.
  std::vector<WaitingOpening> Take(std::size_t aCount, const Condition& aCondition);

  /// Removes and returns the openings that have waited for longer than mMaxWait.
  std::vector<WaitingOpening> TakeExpired(TimePoint aNow);

private:
  /// Priority, negated time of arrival, and a number that makes the key unique.
  using SortKey = std::tuple<std::uint32_t, RuntimeClock::duration, std::uint64_t>;

  std::map<SortKey, WaitingOpening> mOpenings;
  std::unordered_set<FlowKey, FlowKeyHash> mFlows;
  std::uint64_t mNextNumber = 0;
};

} // namespace dandelionslip
