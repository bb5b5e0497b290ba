// The balancer as a process, for callers that send datagrams and HTTP/2 requests;
// dandelionslip-balancer runs it. For the packet balancer of a platform see PacketDaemons.h.
#pragma once

#include "dandelionslip/Config/BalancerSettings.h"
#include "dandelionslip/Support/Error.h"

namespace dandelionslip {

/// Runs a balancer until it is stopped by a signal. Returns the exit code of the process; an error
/// means that it could not start.
Result<int> RunBalancer(const BalancerSettings& aSettings);

} // namespace dandelionslip
