// Admission of offered openings beside an upstream whose flows carry one request each.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Packet/RequestCostModel.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dandelionslip {

/// An opening that a balancer offers.
struct OfferedOpening
{
  std::uint64_t mRoute = 0;    ///< RouteKeyOf the flow.
  bool mLast = false;          ///< No other upstream will be asked.
  Milliseconds mGoal{0};       ///< Response-time goal of the route; 0 if none.
  Milliseconds mTimeout{0};    ///< Maximum duration of a request on the route.
  std::uint32_t mPriority = 0; ///< 0 is the highest.
};

/// Keeps account of the requests that an upstream runs and queues and of the openings whose request
/// is yet to come, and decides whether to accept a further opening. Not thread-safe.
class OpeningAdmission
{
public:
  /// Forgets everything; aSlots: requests that the upstream runs at once.
  void OnUpstreamStarted(std::uint32_t aSlots);
  /// The first heartbeat states the slots of an upstream that this process has served already.
  /// Keeps account of its requests, but forgets costs, which were learned without the slots.
  void OnUpstreamFound(std::uint32_t aSlots, TimePoint aNow);
  /// A changed number replaces the learned queue limit by the initial one for it.
  void SetSlots(std::uint32_t aSlots, TimePoint aNow);
  /// The opening was delivered, for the first time or again.
  void OnOpened(const FlowKey& aFlow, std::uint64_t aRoute, TimePoint aNow);
  /// The flow's request was delivered.
  void OnRequest(const FlowKey& aFlow, std::uint64_t aRoute, TimePoint aNow);
  /// The first data of the answer came.
  void OnAnswered(const FlowKey& aFlow, TimePoint aNow);
  /// The flow was reset, returned, removed or given up.
  void OnGone(const FlowKey& aFlow, TimePoint aNow);
  /// Forgets openings whose request is overdue and raises the queue limit when that is due. Must be
  /// called several times a second.
  void Expire(TimePoint aNow);

  /// Whether to deliver the opening; otherwise it is returned as busy. Forgets openings whose
  /// request is overdue. While last offers of more urgent routes are returned, those of less urgent
  /// ones may fill only a part of the queue.
  bool Accepts(const OfferedOpening& aOpening, TimePoint aNow);
  /// Expected time that a request opened now would wait for a slot; empty if costs are unknown.
  std::optional<RuntimeClock::duration> ExpectedWait(TimePoint aNow) const;
  /// Openings that the upstream can take within aInterval without a request waiting longer than its
  /// share of the queue.
  std::uint32_t Room(Milliseconds aInterval, TimePoint aNow) const;
  /// Requests that run or wait, and openings that await their request.
  std::uint32_t Ahead() const;
  /// Whether a request that is delivered now finds a free slot.
  bool HasFreeSlot() const;
  const RequestCostModel& Costs() const { return mCosts; }
  /// Requests and expected requests that the upstream accepts at once, learned from its rejections.
  std::uint32_t QueueLimit() const { return mQueueLimit; }

private:
  struct Entry
  {
    std::uint64_t mRoute = 0;
    TimePoint mOpenedAt;
    std::optional<TimePoint> mRequestedAt; ///< Empty while the opening awaits its request.
    std::optional<TimePoint> mStartedAt;   ///< When the request got a slot.
    std::uint32_t mAheadOfRequest = 0;     ///< Requests in progress when it was delivered.
  };

  /// Recent last offers of openings of one priority that have a goal.
  struct LastOffers
  {
    double mCount = 0;    ///< Each weighed by its age.
    double mReturned = 0; ///< Of these.
    TimePoint mDecayedAt;

    void Add(bool aReturned, TimePoint aNow);
  };

  bool HasRoomFor(const OfferedOpening& aOpening, TimePoint aNow) const;
  bool ReturnsMoreUrgent(std::uint32_t aPriority, TimePoint aNow) const;
  void ForgetOverdueOpenings(TimePoint aNow);
  void Remove(const FlowKey& aFlow, TimePoint aNow);
  void StartNext(TimePoint aNow);
  void LearnQueueLimit(const Entry& aEntry, TimePoint aNow);
  /// Time until a request that is behind all others gets a slot; empty if costs are unknown.
  std::optional<RuntimeClock::duration> TimeToFreeSlot(TimePoint aNow) const;

  /// Requests in progress and expected that are assumed to be accepted until a rejection shows
  /// less, per slot. Queues are about four times as long as the slots are many.
  static constexpr std::uint32_t kInitialQueueFactor = 4;

  std::uint32_t mSlots = 1;
  RequestCostModel mCosts;
  std::unordered_map<FlowKey, Entry, FlowKeyHash> mEntries;
  std::vector<FlowKey> mInProgress; ///< Flows whose request runs or waits, in order of delivery.
  std::map<std::uint32_t, LastOffers> mLastOffers; ///< By priority.
  std::uint32_t mRunning = 0;
  std::uint32_t mQueueLimit = kInitialQueueFactor;
  TimePoint mLimitChangedAt;
  /// Mean time from an opening to its request, the caller's round trip.
  RuntimeClock::duration mRoundTrip = Milliseconds(8);
};

} // namespace dandelionslip
