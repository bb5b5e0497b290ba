// Queue of opening packets that wait at a balancer for an upstream.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
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
  Milliseconds mGoal{0};    ///< Response-time goal of its route; 0 if none.
};

/// Queue of waiting opening packets. Those of the routes with the highest priority leave first, and
/// within a priority the newest. Openings that can no longer meet their route's goal follow the
/// others of their priority, oldest first.
///
/// Newest first, because the queue grows when all callers open their flows again at once. In order
/// of arrival, each opening packet would then leave just before its caller's deadline, and the few
/// flows that a cold upstream accepts would go to callers that give up before the answer.
///
/// A route with a goal whose priority is not the highest in the queue is not passed over for longer
/// than one second: when none of its openings was taken for kMaxPassedOver, the next Take() starts
/// with one of them. This holds if Take() is called with a matching condition at least every 200
/// ms, the interval of load reports.
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
  /// order given above. Without aNow, all openings count as able to meet their goal.
  std::vector<WaitingOpening> Take(std::size_t aCount, const Condition& aCondition,
                                   TimePoint aNow = {});

  /// Removes and returns the opening packets that have waited for longer than mMaxWait.
  std::vector<WaitingOpening> TakeExpired(TimePoint aNow);

  /// 200 ms, one interval of load reports, below the bound of one second.
  static constexpr Milliseconds kMaxPassedOver{800};

private:
  /// Priority; whether the goal can no longer be met; time of arrival, negated if it can be met;
  /// and a number that makes the key unique.
  using SortKey = std::tuple<std::uint32_t, bool, RuntimeClock::duration, std::uint64_t>;
  using Openings = std::map<SortKey, WaitingOpening>;

  /// A route with a goal.
  struct Route
  {
    std::uint32_t mPriority = 0;
    std::size_t mWaiting = 0;
    TimePoint mTakenAt; ///< When its last opening was taken, or its first one began to wait.
  };

  WaitingOpening Extract(Openings::iterator aItem);
  Openings::iterator FirstOf(std::uint64_t aRoute, std::uint32_t aPriority);
  void MoveLate(TimePoint aNow);
  void TakePassedOver(std::size_t aCount, const Condition& aCondition, TimePoint aNow,
                      std::vector<WaitingOpening>& aTaken);

  Openings mOpenings;
  std::unordered_map<FlowKey, SortKey, FlowKeyHash> mFlows;
  /// Openings that can meet their goal, by the time until which they can.
  std::map<std::pair<TimePoint, std::uint64_t>, FlowKey> mGoalEnds;
  std::map<std::uint64_t, Route> mRoutes; ///< Those with a goal, by RouteKeyOf their flows.
  std::uint64_t mNextNumber = 0;
};

} // namespace dandelionslip
