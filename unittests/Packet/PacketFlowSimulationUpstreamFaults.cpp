// Faults of upstreams, and removed VMs and routes, in the simulated packet plane.
#include "PacketFlowSimulationParts.h"

namespace dandelionslip {

void PacketFlowSimulation::InjectUpstreamFault()
{
}

} // namespace dandelionslip
