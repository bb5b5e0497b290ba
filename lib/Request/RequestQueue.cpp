// Order, fairness and deadlines of waiting requests.
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
  // With n running requests one ends every n-th part of a run time, so the wait for a turn is that
  // part for every request ahead and for the one whose slot is needed.
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
  for (const CallerQueues& lines : mQueuesByClass) {
    if (!lines.empty()) {
      return &lines.front().mEntries.front();
    }
  }
  return nullptr;
}

QueueEntry RequestQueue::Pop()
{
  const auto lines = std::find_if(mQueuesByClass.begin(), mQueuesByClass.end(),
                                  [](const CallerQueues& aLines) { return !aLines.empty(); });
  CallerQueue& line = lines->front();
  const QueueEntry entry = line.mEntries.front();
  line.mEntries.pop_front();
  --mSize;
  if (line.mEntries.empty()) {
    lines->pop_front();
    return entry;
  }
  lines->splice(lines->end(), *lines, lines->begin());
  return entry;
}

bool RequestQueue::Remove(std::uint64_t aToken)
{
  const auto matches = [aToken](const QueueEntry& aEntry) { return aEntry.mToken == aToken; };
  for (CallerQueues& lines : mQueuesByClass) {
    for (auto line = lines.begin(); line != lines.end(); ++line) {
      if (std::erase_if(line->mEntries, matches) == 0) {
        continue;
      }
      --mSize;
      if (line->mEntries.empty()) {
        lines.erase(line);
      }
      return true;
    }
  }
  return false;
}

void RequestQueue::SetDeadline(std::uint64_t aToken, TimePoint aDeadline)
{
  for (CallerQueues& lines : mQueuesByClass) {
    for (CallerQueue& line : lines) {
      for (QueueEntry& entry : line.mEntries) {
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
  for (const CallerQueues& lines : mQueuesByClass) {
    for (const CallerQueue& line : lines) {
      for (const QueueEntry& entry : line.mEntries) {
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
  // The latest run counts for an eighth: a few runs are enough to follow a change of speed, and one
  // slow run does not refuse the next requests.
  constexpr std::int64_t kShare = 8;
  mExpectedRunTime = mExpectedRunTime.count() == 0
                       ? aRunTime
                       : mExpectedRunTime + (aRunTime - mExpectedRunTime) / kShare;
}

void RequestQueue::Append(const QueueEntry& aEntry)
{
  CallerQueues& lines = mQueuesByClass[static_cast<std::size_t>(aEntry.mClass)];
  auto line = std::find_if(lines.begin(), lines.end(), [&aEntry](const CallerQueue& aLine) {
    return aLine.mCaller == aEntry.mCaller;
  });
  if (line == lines.end()) {
    line = lines.insert(lines.end(), CallerQueue{aEntry.mCaller, {}});
  }
  line->mEntries.push_back(aEntry);
  ++mSize;
}

std::optional<QueueEntry> RequestQueue::DisplaceFor(const QueueEntry& aEntry)
{
  const auto own = static_cast<std::size_t>(aEntry.mClass);
  for (std::size_t index = mQueuesByClass.size(); index-- > own;) {
    CallerQueues& lines = mQueuesByClass[index];
    if (lines.empty()) {
      continue;
    }
    const auto longest = std::max_element(lines.begin(), lines.end(),
                                          [](const CallerQueue& aLeft, const CallerQueue& aRight) {
                                            return aLeft.mEntries.size() < aRight.mEntries.size();
                                          });
    const auto same = std::find_if(lines.begin(), lines.end(), [&aEntry](const CallerQueue& aLine) {
      return aLine.mCaller == aEntry.mCaller;
    });
    const std::size_t held = same == lines.end() ? 0 : same->mEntries.size();
    if (index == own && longest->mEntries.size() < held + 2) {
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
    for (const CallerQueue& line : mQueuesByClass[index]) {
      ahead += line.mEntries.size();
    }
  }
  std::size_t held = 0;
  for (const CallerQueue& line : mQueuesByClass[own]) {
    held = line.mCaller == aEntry.mCaller ? line.mEntries.size() : held;
  }
  // With turns in rotation, no other caller gets more than held + 1 turns before this entry.
  for (const CallerQueue& line : mQueuesByClass[own]) {
    const bool same = line.mCaller == aEntry.mCaller;
    ahead += same ? held : std::min(line.mEntries.size(), held + 1);
  }
  return ahead;
}

} // namespace dandelionslip
