// Registered flows of a directory agent.
#include "dandelionslip/Packet/FlowDirectory.h"

namespace dandelionslip {

bool FlowDirectory::Register(const FlowKey& aFlow, const Endpoint& aHolder, TimePoint aNow)
{
  if (mEntries.size() >= kMaxEntries && !mEntries.contains(aFlow)) {
    return false;
  }
  mEntries[aFlow] = {aHolder, aNow};
  mHolders[aHolder] = aNow;
  return true;
}

std::optional<Endpoint> FlowDirectory::Find(const FlowKey& aFlow) const
{
  const auto found = mEntries.find(aFlow);
  return found == mEntries.end() ? std::nullopt : std::optional(found->second.mHolder);
}

void FlowDirectory::Expire(TimePoint aNow)
{
  std::erase_if(mEntries,
                [&](const auto& aItem) { return aNow - aItem.second.mRegisteredAt > kLifetime; });
  std::erase_if(mHolders, [&](const auto& aItem) { return aNow - aItem.second > kLifetime; });
}

} // namespace dandelionslip
