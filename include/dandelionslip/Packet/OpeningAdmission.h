// Admission of offered openings beside an upstream whose flows carry one request each.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Packet/RequestCostModel.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

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
  void SetSlots(std::uint32_t aSlots);
  void OnOpened(const FlowKey& aFlow, std::uint64_t aRoute, TimePoint aNow);
  /// The flow's request was delivered.
  void OnRequest(const FlowKey& aFlow, std::uint64_t aRoute, TimePoint aNow);
  /// The first data of the answer came.
  void OnAnswered(const FlowKey& aFlow, TimePoint aNow);
  /// The flow was reset, returned, removed or given up.
  void OnGone(const FlowKey& aFlow, TimePoint aNow);
  /// Forgets openings whose caller has sent no request. Must be called several times a second.
  void Expire(TimePoint aNow);

  /// Whether to deliver the opening; otherwise it is returned as busy.
  bool Accepts(const OfferedOpening& aOpening, TimePoint aNow) const;
  /// Expected time that a request opened now would wait for a slot; empty if costs are unknown.
  std::optional<RuntimeClock::duration> ExpectedWait(TimePoint aNow) const;
  /// Openings that the upstream can take within aInterval without a request waiting longer than its
  /// share of the queue.
  std::uint32_t Room(Milliseconds aInterval, TimePoint aNow) const;
  /// Requests that run or wait, and openings that await their request.
  std::uint32_t Ahead() const;
  /// Whether a request that is delivered now finds a free slot.
  bool HasFreeSlot() const;
  const RequestCostModel& Costs() const;
};

} // namespace dandelionslip
