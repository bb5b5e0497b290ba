// Waiting opening packets, ordered by priority, goal and arrival.
#include "dandelionslip/Packet/OpeningQueue.h"

#include "RouteKey.h"

#include <tuple>

namespace dandelionslip {

namespace {

// An opening that has waited for this part of its goal is late: the rest is needed for the round
// trip before the request and for its run. Both took up to a quarter of the goal where measured.
constexpr int kLateNumerator = 3;
constexpr int kLateDenominator = 4;

// A route whose openings all expired or were removed is kept for this time, so that its next ones
// have their turn when it is due.
constexpr Milliseconds kRouteLifetime{10'000};

TimePoint GoalEnd(const WaitingOpening& aOpening)
{
  return aOpening.mArrivedAt + aOpening.mGoal * kLateNumerator / kLateDenominator;
}

bool HasGoal(const WaitingOpening& aOpening)
{
  return aOpening.mGoal.count() > 0;
}

} // namespace

bool OpeningQueue::Add(WaitingOpening aOpening)
{
  const SortKey key{aOpening.mPriority, false, -aOpening.mArrivedAt.time_since_epoch(),
                    mNextNumber};
  if (!mFlows.try_emplace(aOpening.mFlow, key).second) {
    return false;
  }
  if (HasGoal(aOpening)) {
    mGoalEnds.emplace(std::pair(GoalEnd(aOpening), mNextNumber), aOpening.mFlow);
    const auto item = mRoutes.try_emplace(RouteKeyOf(aOpening.mFlow),
                                          Route{aOpening.mPriority, 0, aOpening.mArrivedAt});
    item.first->second.mPriority = aOpening.mPriority;
    ++item.first->second.mWaiting;
  }
  ++mNextNumber;
  mOpenings.emplace(key, std::move(aOpening));
  return true;
}

WaitingOpening OpeningQueue::Extract(Openings::iterator aItem)
{
  WaitingOpening opening = std::move(aItem->second);
  if (HasGoal(opening)) {
    mGoalEnds.erase({GoalEnd(opening), std::get<3>(aItem->first)});
    --mRoutes.at(RouteKeyOf(opening.mFlow)).mWaiting;
  }
  mFlows.erase(opening.mFlow);
  mOpenings.erase(aItem);
  return opening;
}

void OpeningQueue::Remove(const FlowKey& aFlow)
{
  if (const auto found = mFlows.find(aFlow); found != mFlows.end()) {
    Extract(mOpenings.find(found->second));
  }
}

// Moves openings that can no longer meet their goal behind those of their priority that can.
void OpeningQueue::MoveLate(TimePoint aNow)
{
  while (!mGoalEnds.empty() && mGoalEnds.begin()->first.first <= aNow) {
    SortKey& key = mFlows.at(mGoalEnds.begin()->second);
    auto node = mOpenings.extract(key);
    std::get<1>(key) = true;
    std::get<2>(key) = node.mapped().mArrivedAt.time_since_epoch();
    node.key() = key;
    mOpenings.insert(std::move(node));
    mGoalEnds.erase(mGoalEnds.begin());
  }
}

OpeningQueue::Openings::iterator OpeningQueue::FirstOf(std::uint64_t aRoute,
                                                       std::uint32_t aPriority)
{
  auto item = mOpenings.lower_bound({aPriority, false, RuntimeClock::duration::min(), 0});
  while (item != mOpenings.end() && std::get<0>(item->first) == aPriority) {
    if (RouteKeyOf(item->second.mFlow) == aRoute) {
      return item;
    }
    ++item;
  }
  return mOpenings.end();
}

void OpeningQueue::TakePassedOver(std::size_t aCount, const Condition& aCondition, TimePoint aNow,
                                  std::vector<WaitingOpening>& aTaken)
{
  if (mOpenings.empty()) {
    return;
  }
  const std::uint32_t highest = std::get<0>(mOpenings.begin()->first);
  for (auto& [key, route] : mRoutes) {
    if (aTaken.size() >= aCount) {
      return;
    }
    if (route.mWaiting == 0 || route.mPriority <= highest ||
        aNow - route.mTakenAt < kMaxPassedOver) {
      continue;
    }
    const auto item = FirstOf(key, route.mPriority);
    if (item != mOpenings.end() && aCondition(item->second)) {
      route.mTakenAt = aNow;
      aTaken.push_back(Extract(item));
    }
  }
}

std::vector<WaitingOpening> OpeningQueue::Take(std::size_t aCount, const Condition& aCondition,
                                               TimePoint aNow)
{
  std::vector<WaitingOpening> taken;
  MoveLate(aNow);
  TakePassedOver(aCount, aCondition, aNow, taken);
  for (auto item = mOpenings.begin(); item != mOpenings.end() && taken.size() < aCount;) {
    const auto current = item++;
    if (!aCondition(current->second)) {
      continue;
    }
    if (const auto route = mRoutes.find(RouteKeyOf(current->second.mFlow));
        route != mRoutes.end()) {
      route->second.mTakenAt = aNow;
    }
    taken.push_back(Extract(current));
  }
  std::erase_if(mRoutes, [aNow](const auto& aItem) {
    return aItem.second.mWaiting == 0 &&
           (aItem.second.mTakenAt == aNow || aNow - aItem.second.mTakenAt > kRouteLifetime);
  });
  return taken;
}

std::vector<WaitingOpening> OpeningQueue::TakeExpired(TimePoint aNow)
{
  std::vector<WaitingOpening> expired;
  for (auto item = mOpenings.begin(); item != mOpenings.end();) {
    const auto current = item++;
    if (aNow - current->second.mArrivedAt > current->second.mMaxWait) {
      expired.push_back(Extract(current));
    }
  }
  return expired;
}

} // namespace dandelionslip
