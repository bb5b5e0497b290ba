// The balancer as a process.
#pragma once

#include "dandelionslip/Config/BalancerSettings.h"
#include "dandelionslip/Support/Error.h"

namespace dandelionslip {

/// Runs a balancer until it is stopped by a signal. Returns the exit code of the process; an error
/// means that it could not start.
Result<int> RunBalancer(const BalancerSettings& aSettings);

} // namespace dandelionslip
