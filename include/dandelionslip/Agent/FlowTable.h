// The flows that an agent's upstream holds.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <span>
#include <vector>

namespace dandelionslip {

/// Identifies a flow within a service: its flow hash.
using FlowId = std::uint64_t;

/// One flow held by the upstream.
struct FlowEntry
{
  FlowId mFlow = 0;
  Endpoint mCaller;
  Endpoint mService;
  Endpoint mBalancer;              ///< The balancer that last carried a packet of the flow.
  std::uint16_t mUpstreamPort = 0; ///< Local port towards the upstream; 0 until it is open.
  bool mEstablished = false;       ///< The upstream has answered at least once.
  /// Identifies the session, that is one use of the flow from an opening to a close datagram. Taken
  /// from the last opening datagram.
  std::uint64_t mSessionTag = 0;
  TimePoint mLastActive;
};

/// Flows by id, with bounded memory. An insertion never evicts an entry. Not thread-safe.
class FlowTable
{
public:
  /// Allocates no memory until the first insertion; never holds more than aCapacity flows.
  explicit FlowTable(std::size_t aCapacity);

  /// The flow, or null. Valid until the next insertion or erasure.
  FlowEntry* Find(FlowId aFlow);
  const FlowEntry* Find(FlowId aFlow) const;

  /// Adds a flow that is not in the table. Returns null when the table is full.
  FlowEntry* Insert(const FlowEntry& aEntry);

  bool Erase(FlowId aFlow);

  /// Examines the next aMaxSlots slots after those of the last call. Returns the flows that were
  /// idle for longer than aIdleTimeout, or than aOpeningTimeout when the upstream has never
  /// answered. They stay in the table.
  std::vector<FlowId> FindIdle(TimePoint aNow, Milliseconds aIdleTimeout,
                               Milliseconds aOpeningTimeout, std::size_t aMaxSlots);

  std::size_t Size() const { return mSize; }
  std::size_t Capacity() const { return mCapacity; }
  std::size_t MemoryBytes() const { return mSlots.capacity() * sizeof(Slot); }

  /// Calls aVisit for each flow, in an unspecified order.
  template <typename F>
  void ForEach(F&& aVisit) const
  {
    for (const Slot& slot : mSlots) {
      if (slot.mUsed) {
        aVisit(slot.mEntry);
      }
    }
  }

private:
  struct Slot
  {
    FlowEntry mEntry;
    bool mUsed = false;
  };

  std::size_t IndexOf(FlowId aFlow) const;
  void Grow();
  void Place(const FlowEntry& aEntry);

  std::size_t mCapacity;
  std::size_t mSize = 0;
  std::size_t mLastExamined = 0;
  std::vector<Slot> mSlots; ///< Linear probing; the size is a power of two or zero.
};

} // namespace dandelionslip
