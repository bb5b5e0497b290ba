// Actions of the packet cores.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/NodeMessageHeader.h"
#include "dandelionslip/Packet/Segment.h"

#include <cstdint>
#include <span>
#include <vector>

namespace dandelionslip {

/// Carries out what a packet core decides. Spans are valid only during the call.
class PacketOutput
{
public:
  virtual ~PacketOutput() = default;

  /// Sends a packet to another node behind a hop header.
  virtual void SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                          std::span<const std::uint8_t> aPacket) = 0;
  /// Sends a packet to the caller of the flow.
  virtual void SendToCaller(const FlowKey& aFlow, std::span<const std::uint8_t> aPacket) = 0;
  /// Sends a packet to the upstream beside this node.
  virtual void SendToUpstream(std::span<const std::uint8_t> aPacket) = 0;
};

} // namespace dandelionslip
