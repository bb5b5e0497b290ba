// Statements of agents that they do not hold a flow.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/NodeMessageHeader.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <span>
#include <string>

namespace dandelionslip {

/// A message in which an agent stated that it does not hold a flow, or did not accept it.
struct FlowDenial
{
  Endpoint mAgent;
  NodeMessageType mAnswer = NodeMessageType::NotFound; ///< Returned, NotFound or NotRegistered.
  ReturnReason mReason = ReturnReason::None;           ///< Set if mAnswer is Returned.
  bool mOfOpening = false;                             ///< The agent returned the opening packet.
  TimePoint mReceivedAt;
};

/// Whether one of the denials is by the agent.
bool IsDeniedBy(std::span<const FlowDenial> aDenials, const Endpoint& aAgent);

/// The denials for a log line, as agent/answer/age in ms, separated by commas. Bounded: the oldest
/// ones are only counted.
std::string ToText(std::span<const FlowDenial> aDenials, TimePoint aNow);

} // namespace dandelionslip
