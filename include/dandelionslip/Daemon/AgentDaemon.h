// The agent as a process, for callers that send datagrams and HTTP/2 requests; dandelionslip-agent
// runs it. For the packet agent of a platform see PacketDaemons.h.
#pragma once

#include "dandelionslip/Config/AgentSettings.h"
#include "dandelionslip/Support/Error.h"

namespace dandelionslip {

/// Runs an agent until it is stopped by a signal. Returns the exit code of the process; an error
/// means that it could not start.
Result<int> RunAgent(const AgentSettings& aSettings);

} // namespace dandelionslip
