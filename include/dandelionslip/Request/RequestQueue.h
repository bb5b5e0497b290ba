// The bounded queue of requests that wait for a slot at an upstream.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Model/ServiceSpec.h"

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace dandelionslip {

/// Identifies a caller for fair queueing and retry budgets: a hash of its address or identity.
using CallerKey = std::uint64_t;

/// One queued request.
struct QueueEntry
{
  std::uint64_t mToken = 0; ///< Chosen by the code that uses the queue.
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  TimePoint mDeadline;
};

/// Result of offering a request to the queue.
struct QueueOffer
{
  std::optional<Refusal> mRefusal;      ///< Set when the request was not queued.
  std::optional<QueueEntry> mDisplaced; ///< Entry that was removed to make room.
};

/// A bounded queue that serves higher traffic classes first, and the callers of one class in turn
/// (round robin).
///
/// A request is refused at once when its run is expected to end after its deadline. When the queue
/// is full, a new request displaces one of a lower class, or one of a caller of its class that has
/// at least two entries more than its own caller, so that one caller cannot occupy the whole queue.
class RequestQueue
{
public:
  explicit RequestQueue(std::size_t aCapacity);

  /// Queues a request unless it has to be refused; aRunning is the number of requests that run now.
  QueueOffer Offer(const QueueEntry& aEntry, TimePoint aNow, std::size_t aRunning);

  /// Returns a refusal when a request with this deadline could not be answered in time if aAhead
  /// others ran first.
  std::optional<Refusal> CheckDeadline(TimePoint aDeadline, TimePoint aNow, std::size_t aAhead,
                                       std::size_t aRunning) const;

  /// The next request to run, or null.
  const QueueEntry* Front() const;
  /// Removes and returns the next request to run; the queue must not be empty.
  QueueEntry Pop();

  /// Removes one request; false when it is not queued.
  bool Remove(std::uint64_t aToken);
  /// Changes the deadline of a request if it is queued.
  void SetDeadline(std::uint64_t aToken, TimePoint aDeadline);

  /// Removes and returns the requests that can no longer be answered in time.
  std::vector<QueueEntry> TakeOverdue(TimePoint aNow);

  /// Updates the expected run time, a moving average, with an observed one.
  void ObserveRunTime(RuntimeClock::duration aRunTime);
  /// The expected run time; zero before the first observation.
  RuntimeClock::duration ExpectedRunTime() const { return mExpectedRunTime; }

  std::size_t Size() const { return mSize; }
  std::size_t Capacity() const { return mCapacity; }

private:
  struct CallerQueue
  {
    CallerKey mCaller = 0;
    std::deque<QueueEntry> mEntries;
  };
  /// The queues of one traffic class; the caller at the front is next.
  using CallerQueues = std::list<CallerQueue>;

  void Append(const QueueEntry& aEntry);
  std::optional<QueueEntry> DisplaceFor(const QueueEntry& aEntry);
  std::size_t CountAhead(const QueueEntry& aEntry) const;

  std::size_t mCapacity;
  std::size_t mSize = 0;
  std::array<CallerQueues, 3> mQueuesByClass;
  RuntimeClock::duration mExpectedRunTime{0};
};

} // namespace dandelionslip
