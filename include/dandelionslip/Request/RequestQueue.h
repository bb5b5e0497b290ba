// The short queue in front of an upstream.
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

/// Identifies a caller for fairness and retry budgets; a hash of its address or identity.
using CallerKey = std::uint64_t;

/// One waiting request.
struct QueueEntry
{
  std::uint64_t mToken = 0; ///< Chosen by the owner of the queue.
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  TimePoint mDeadline;
};

/// Result of offering a request to the queue.
struct QueueOffer
{
  std::optional<Refusal> mRefusal;      ///< Set when the request was not queued.
  std::optional<QueueEntry> mDisplaced; ///< Entry that lost its place to this request.
};

/// A bounded queue: higher traffic classes first, round robin between the callers of a class.
///
/// A request is refused at once when its turn and run are expected to end after its deadline. When
/// the queue is full, a request displaces one of a lower class, or one of a caller that holds at
/// least two places more than its own caller, so that one caller cannot occupy the whole queue.
class RequestQueue
{
public:
  explicit RequestQueue(std::size_t aCapacity);

  /// Offers a request; aRunning is the number of requests that run now.
  QueueOffer Offer(const QueueEntry& aEntry, TimePoint aNow, std::size_t aRunning);

  /// Why a request with this deadline could not be answered in time if aAhead others ran first.
  std::optional<Refusal> CheckDeadline(TimePoint aDeadline, TimePoint aNow, std::size_t aAhead,
                                       std::size_t aRunning) const;

  /// The request whose turn it is, or null.
  const QueueEntry* Front() const;
  /// Takes the request whose turn it is; the queue must not be empty.
  QueueEntry Pop();

  /// Removes one request; false when it is not queued.
  bool Remove(std::uint64_t aToken);
  /// Changes the deadline of a queued request.
  void Extend(std::uint64_t aToken, TimePoint aDeadline);

  /// Removes and returns the requests that can no longer be answered in time.
  std::vector<QueueEntry> TakeOverdue(TimePoint aNow);

  /// Adds an observed run time to the estimate (moving average).
  void ObserveRunTime(RuntimeClock::duration aRunTime);
  /// The current estimate; zero before the first observation.
  RuntimeClock::duration ExpectedRunTime() const { return mRunTime; }

  std::size_t Size() const { return mSize; }
  std::size_t Capacity() const { return mCapacity; }

private:
  struct Line
  {
    CallerKey mCaller = 0;
    std::deque<QueueEntry> mEntries;
  };
  /// Callers of one class in the order of their turns.
  using Lines = std::list<Line>;

  void Append(const QueueEntry& aEntry);
  std::optional<QueueEntry> DisplaceFor(const QueueEntry& aEntry);
  std::size_t CountAhead(const QueueEntry& aEntry) const;

  std::size_t mCapacity;
  std::size_t mSize = 0;
  std::array<Lines, 3> mClasses;
  RuntimeClock::duration mRunTime{0};
};

} // namespace dandelionslip
