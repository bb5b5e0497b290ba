// Waiting opening packets, ordered by priority and arrival.
#include "dandelionslip/Packet/OpeningQueue.h"

#include <limits>
#include <utility>

namespace dandelionslip {

bool OpeningQueue::Add(WaitingOpening aOpening)
{
  const SortKey key{aOpening.mPriority, -aOpening.mArrivedAt.time_since_epoch(), mNextNumber};
  if (!mFlows.try_emplace(aOpening.mFlow, key).second) {
    return false;
  }
  ++mNextNumber;
  mOpenings.emplace(key, std::move(aOpening));
  return true;
}

void OpeningQueue::Remove(const FlowKey& aFlow)
{
  if (const auto found = mFlows.find(aFlow); found != mFlows.end()) {
    mOpenings.erase(found->second);
    mFlows.erase(found);
  }
}

std::vector<WaitingOpening> OpeningQueue::Take(std::size_t aCount, const Condition& aCondition)
{
  std::vector<WaitingOpening> taken;
  for (auto item = mOpenings.begin(); item != mOpenings.end() && taken.size() < aCount;) {
    if (!aCondition(item->second)) {
      ++item;
      continue;
    }
    mFlows.erase(item->second.mFlow);
    taken.push_back(std::move(item->second));
    item = mOpenings.erase(item);
  }
  return taken;
}

std::vector<WaitingOpening> OpeningQueue::TakeExpired(TimePoint aNow)
{
  return Take(std::numeric_limits<std::size_t>::max(), [aNow](const WaitingOpening& aOpening) {
    return aNow - aOpening.mArrivedAt > aOpening.mMaxWait;
  });
}

} // namespace dandelionslip
