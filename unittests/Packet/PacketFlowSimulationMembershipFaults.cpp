// Faults of membership in the simulated packet plane: nodes that control does not reach, and views
// that lack nodes.
#include "PacketFlowSimulationParts.h"

namespace dandelionslip {

void PacketFlowSimulation::InjectMembershipFault()
{
}

} // namespace dandelionslip
