// Packets, configurations and a recording output for tests of PacketAgent and PacketBalancer.
#pragma once

#include "PlatformPacketCodec.h"

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Packet/PacketOutput.h"

#include <string>
#include <vector>

namespace dandelionslip {

using PacketBytes = std::vector<std::uint8_t>;

/// Flags of the packet format.
enum PacketFlag : std::uint8_t
{
  FlagFin = 2,
  FlagRst = 16,
  FlagBounced = 32,
  FlagSyn = 64,
  FlagAck = 128,
};

/// A packet from the caller of the flow.
PacketBytes CallerPacket(const FlowKey& aFlow, std::uint8_t aFlags, std::uint32_t aSequence = 1,
                         std::uint32_t aAcknowledged = 0, std::uint16_t aDataBytes = 0);
/// A packet from the upstream of the flow.
PacketBytes UpstreamPacket(const FlowKey& aFlow, std::uint8_t aFlags, std::uint32_t aSequence = 1,
                           std::uint16_t aDataBytes = 0);

/// The flow of caller number aCaller to the address of TestConfiguration.
FlowKey TestFlow(std::uint16_t aCaller);

/// Endpoint of node number aNode.
Endpoint NodeEndpoint(unsigned aNode);

/// One route, 198.18.0.1:443, to the given services with equal weights.
Configuration TestConfiguration(std::uint64_t aVersion, const std::vector<std::string>& aServices);

/// An agent of a service at NodeEndpoint(aNode).
Member TestAgentMember(unsigned aNode, const std::string& aService,
                       MemberState aState = MemberState::Serving);

/// A view with these members.
View TestView(std::uint64_t aRevision, const std::vector<Member>& aMembers);

/// Records the packets that were sent.
struct RecordingOutput : PacketOutput
{
  struct ToNode
  {
    Endpoint mNode;
    NodeMessageHeader mHeader;
    PacketBytes mPacket;
  };

  void SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                  std::span<const std::uint8_t> aPacket) override;
  void SendToCaller(const FlowKey& /*aFlow*/, std::span<const std::uint8_t> aPacket) override
  {
    mToCallers.emplace_back(aPacket.begin(), aPacket.end());
  }
  void SendToUpstream(std::span<const std::uint8_t> aPacket) override
  {
    mToUpstream.emplace_back(aPacket.begin(), aPacket.end());
  }
  /// Forgets what was sent, except the queries that have no answer yet.
  void Clear();
  /// Number of the query that the node's next answer is to: of the queries for the flow, the oldest
  /// one to the node without an answer, or else the newest one.
  std::uint32_t NumberForAnswer(const Endpoint& aNode, const FlowKey& aFlow);

  /// Number of resets among the packets to callers.
  std::size_t Resets() const;

  std::vector<ToNode> mToNodes;
  std::vector<PacketBytes> mToCallers;
  std::vector<PacketBytes> mToUpstream;

private:
  struct Query
  {
    Endpoint mNode;
    FlowMessage mMessage;
    bool mAnswered = false;
  };

  std::vector<Query> mQueries;
};

} // namespace dandelionslip
