// Rings of removed flows.
#include "dandelionslip/Packet/RemovedFlows.h"

#include <algorithm>
#include <span>

namespace dandelionslip {

std::string_view ToString(RemovalReason aReason)
{
  static constexpr std::array<std::string_view, kRemovalReasons> kNames{
    "idle", "closed", "caller_reset", "upstream_reset", "opening", "unanswered", "bounced"};
  return kNames[static_cast<std::size_t>(aReason)];
}

void RemovedFlows::Add(const RemovedFlow& aFlow)
{
  const bool ordinary =
    aFlow.mReason == RemovalReason::Closed || aFlow.mReason == RemovalReason::CallerReset;
  Ring& ring = ordinary ? mOrdinary : mOthers;
  ring.mFlows[ring.mAdded++ % kCapacity] = aFlow;
}

const RemovedFlow* RemovedFlows::Find(const FlowKey& aKey) const
{
  const RemovedFlow* latest = nullptr;
  for (const Ring* ring : {&mOrdinary, &mOthers}) {
    const std::size_t count = std::min(ring->mAdded, kCapacity);
    for (const RemovedFlow& flow : std::span(ring->mFlows).first(count)) {
      if (flow.mKey == aKey && (latest == nullptr || flow.mRemovedAt >= latest->mRemovedAt)) {
        latest = &flow;
      }
    }
  }
  return latest;
}

} // namespace dandelionslip
