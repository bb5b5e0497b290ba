// Order, fairness and deadlines of queued requests.
#include "dandelionslip/Request/RequestQueue.h"

#include <algorithm>

namespace dandelionslip {

RequestQueue::RequestQueue(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

std::optional<Refusal> RequestQueue::CheckDeadline(TimePoint aDeadline, TimePoint aNow,
                                                   std::size_t aAhead, std::size_t aRunning) const
{
  // While n requests run, one of them ends after every 1/n of the expected run time on average. A
  // request waits for one such end for each request ahead of it, and for one more to get its own
  // slot.
  const auto running = static_cast<std::int64_t>(std::max<std::size_t>(aRunning, 1));
  const auto turns = static_cast<std::int64_t>(aRunning == 0 ? aAhead : aAhead + 1);
  const RuntimeClock::duration wait = mExpectedRunTime * turns / running;
  if (aNow >= aDeadline || aNow + wait + mExpectedRunTime > aDeadline) {
    return Refusal{RefusalReason::Deadline, std::chrono::ceil<Milliseconds>(wait)};
  }
  return {};
}

QueueOffer RequestQueue::Offer(const QueueEntry& aEntry, TimePoint aNow, std::size_t aRunning)
{
  const std::size_t ahead = CountAhead(aEntry);
  if (auto refusal = CheckDeadline(aEntry.mDeadline, aNow, ahead, aRunning)) {
    return {refusal, {}};
  }
  QueueOffer offer;
  if (mSize >= mCapacity) {
    offer.mDisplaced = DisplaceFor(aEntry);
    if (!offer.mDisplaced) {
      const auto running = static_cast<std::int64_t>(std::max<std::size_t>(aRunning, 1));
      offer.mRefusal = Refusal{RefusalReason::SlotsFull,
                               std::chrono::ceil<Milliseconds>(mExpectedRunTime / running)};
      return offer;
    }
  }
  Append(aEntry);
  return offer;
}

const QueueEntry* RequestQueue::Front() const
{
  for (const CallerQueues& queues : mQueuesByClass) {
    if (!queues.empty()) {
      return &queues.front().mEntries.front();
    }
  }
  return nullptr;
}

QueueEntry RequestQueue::Pop()
{
  const auto queues = std::find_if(mQueuesByClass.begin(), mQueuesByClass.end(),
                                   [](const CallerQueues& aQueues) { return !aQueues.empty(); });
  CallerQueue& queue = queues->front();
  const QueueEntry entry = queue.mEntries.front();
  queue.mEntries.pop_front();
  --mSize;
  if (queue.mEntries.empty()) {
    queues->pop_front();
    return entry;
  }
  queues->splice(queues->end(), *queues, queues->begin());
  return entry;
}

bool RequestQueue::Remove(std::uint64_t aToken)
{
  const auto matches = [aToken](const QueueEntry& aEntry) { return aEntry.mToken == aToken; };
  for (CallerQueues& queues : mQueuesByClass) {
    for (auto queue = queues.begin(); queue != queues.end(); ++queue) {
      if (std::erase_if(queue->mEntries, matches) == 0) {
        continue;
      }
      --mSize;
      if (queue->mEntries.empty()) {
        queues.erase(queue);
      }
      return true;
    }
  }
  return false;
}

void RequestQueue::SetDeadline(std::uint64_t aToken, TimePoint aDeadline)
{
  for (CallerQueues& queues : mQueuesByClass) {
    for (CallerQueue& queue : queues) {
      for (QueueEntry& entry : queue.mEntries) {
        if (entry.mToken == aToken) {
          entry.mDeadline = aDeadline;
        }
      }
    }
  }
}

std::vector<QueueEntry> RequestQueue::TakeOverdue(TimePoint aNow)
{
  std::vector<QueueEntry> overdue;
  for (const CallerQueues& queues : mQueuesByClass) {
    for (const CallerQueue& queue : queues) {
      for (const QueueEntry& entry : queue.mEntries) {
        if (aNow >= entry.mDeadline || aNow + mExpectedRunTime > entry.mDeadline) {
          overdue.push_back(entry);
        }
      }
    }
  }
  for (const QueueEntry& entry : overdue) {
    Remove(entry.mToken);
  }
  return overdue;
}

void RequestQueue::ObserveRunTime(RuntimeClock::duration aRunTime)
{
  // Weight 1/8 of the newest run: a few runs are enough to follow a change of speed, and one slow
  // run does not make the queue refuse the next requests.
  constexpr std::int64_t kInverseWeight = 8;
  mExpectedRunTime = mExpectedRunTime.count() == 0
                       ? aRunTime
                       : mExpectedRunTime + (aRunTime - mExpectedRunTime) / kInverseWeight;
}

void RequestQueue::Append(const QueueEntry& aEntry)
{
  CallerQueues& queues = mQueuesByClass[static_cast<std::size_t>(aEntry.mClass)];
  auto queue = std::find_if(queues.begin(), queues.end(), [&aEntry](const CallerQueue& aQueue) {
    return aQueue.mCaller == aEntry.mCaller;
  });
  if (queue == queues.end()) {
    queue = queues.insert(queues.end(), CallerQueue{aEntry.mCaller, {}});
  }
  queue->mEntries.push_back(aEntry);
  ++mSize;
}

std::optional<QueueEntry> RequestQueue::DisplaceFor(const QueueEntry& aEntry)
{
  const auto own = static_cast<std::size_t>(aEntry.mClass);
  for (std::size_t index = mQueuesByClass.size(); index-- > own;) {
    CallerQueues& queues = mQueuesByClass[index];
    if (queues.empty()) {
      continue;
    }
    const auto longest = std::max_element(queues.begin(), queues.end(),
                                          [](const CallerQueue& aLeft, const CallerQueue& aRight) {
                                            return aLeft.mEntries.size() < aRight.mEntries.size();
                                          });
    const auto same =
      std::find_if(queues.begin(), queues.end(), [&aEntry](const CallerQueue& aQueue) {
        return aQueue.mCaller == aEntry.mCaller;
      });
    const std::size_t queued = same == queues.end() ? 0 : same->mEntries.size();
    if (index == own && longest->mEntries.size() < queued + 2) {
      return {};
    }
    const QueueEntry displaced = longest->mEntries.back();
    Remove(displaced.mToken);
    return displaced;
  }
  return {};
}

std::size_t RequestQueue::CountAhead(const QueueEntry& aEntry) const
{
  const auto own = static_cast<std::size_t>(aEntry.mClass);
  std::size_t ahead = 0;
  for (std::size_t index = 0; index < own; ++index) {
    for (const CallerQueue& queue : mQueuesByClass[index]) {
      ahead += queue.mEntries.size();
    }
  }
  std::size_t queued = 0;
  for (const CallerQueue& queue : mQueuesByClass[own]) {
    queued = queue.mCaller == aEntry.mCaller ? queue.mEntries.size() : queued;
  }
  // The callers take turns, so no other caller gets more than queued + 1 turns before this entry.
  for (const CallerQueue& queue : mQueuesByClass[own]) {
    const bool same = queue.mCaller == aEntry.mCaller;
    ahead += same ? queued : std::min(queue.mEntries.size(), queued + 1);
  }
  return ahead;
}

} // namespace dandelionslip
