// Where packet balancers and agents send packets.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/NodeMessageHeader.h"
#include "dandelionslip/Packet/PacketCodec.h"

#include <cstdint>
#include <span>
#include <vector>

namespace dandelionslip {

/// Sends the packets of PacketBalancer and PacketAgent. Spans are valid only during the call.
class PacketOutput
{
public:
  virtual ~PacketOutput() = default;

  /// Sends a message, consisting of the header and aPacket, to another node.
  virtual void SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                          std::span<const std::uint8_t> aPacket) = 0;
  /// Sends a packet to the caller of the flow.
  virtual void SendToCaller(const FlowKey& aFlow, std::span<const std::uint8_t> aPacket) = 0;
  /// Sends a packet to the upstream of this node; only agents have one.
  virtual void SendToUpstream(std::span<const std::uint8_t> aPacket) = 0;
};

} // namespace dandelionslip
