// The agent as a process.
#pragma once

#include "dandelionslip/Config/AgentSettings.h"
#include "dandelionslip/Support/Error.h"

namespace dandelionslip {

/// Runs an agent until it is stopped by a signal. Returns the exit code of the process; an error
/// means that it could not start.
Result<int> RunAgent(const AgentSettings& aSettings);

} // namespace dandelionslip
