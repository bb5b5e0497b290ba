// Helper that creates actions of the flow core.
#include "dandelionslip/Agent/FlowActions.h"

namespace dandelionslip {

void ForwardUpdate(const std::string& aTo, const DirectoryUpdate& aUpdate, FlowActions& aOut)
{
  if (aTo.empty() || aUpdate.mForwards >= kMaxUpdateForwards) {
    return;
  }
  DirectoryUpdate update = aUpdate;
  ++update.mForwards;
  aOut.emplace_back(SendPeerMessage{aTo, std::move(update)});
}

} // namespace dandelionslip
