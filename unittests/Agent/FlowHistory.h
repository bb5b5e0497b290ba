// History of flows in a simulated system, and a checker for it.
#pragma once

#include "dandelionslip/Model/RefusalReason.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

enum class FlowEventKind
{
  Delivered,     ///< mNode (upstream) got a packet of the session on mPort.
  Established,   ///< The caller got the first reply, from mNode and mPort.
  Refused,       ///< The caller got a refusal with mReason.
  NoReply,       ///< The caller of an established session got no reply after the last change.
  Ended,         ///< The caller closed the session.
  DataCentreOut, ///< Operators took mDataCentre out of service.
  DataCentreIn,  ///< Operators put mDataCentre back into service.
  Applied,       ///< Balancer mNode applied a configuration. mPort is 1 if mDataCentre is out of
                 ///< service in it, else 0.
  Forwarded,     ///< Balancer mNode forwarded a packet to mDataCentre.
};

/// One event of a history.
struct FlowEvent
{
  FlowEventKind mKind = FlowEventKind::Delivered;
  std::uint64_t mSession = 0;
  std::string mNode;
  /// Of the upstream for Delivered and Established; for the others see FlowEventKind.
  std::string mDataCentre;
  std::string mService;
  std::uint16_t mPort = 0;
  RefusalReason mReason = RefusalReason::UnknownFlow;
};

/// Checks that established sessions stay at their upstream and port while their data centre is in
/// service, that no session reaches two services, and that balancers forward nothing to a data
/// centre that they know to be out of service. Returns the violations.
std::vector<std::string> CheckFlowHistory(const std::vector<FlowEvent>& aEvents);

} // namespace dandelionslip
