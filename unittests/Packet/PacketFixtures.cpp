// Packets and configurations for tests of PacketAgent and PacketBalancer.
#include "PacketFixtures.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kFlags = 8;

PacketBytes Packet(std::uint32_t aSource, std::uint16_t aSourcePort, std::uint32_t aDestination,
                   std::uint16_t aDestinationPort, std::uint8_t aFlags, std::uint32_t aSequence,
                   std::uint32_t aAcknowledged, std::uint16_t aDataBytes)
{
  PacketBytes bytes(kHeaderBytes + aDataBytes, 0);
  std::uint8_t* out = bytes.data();
  out[kFlags] = aFlags;
  boost::endian::store_big_u16(out + 10, aDataBytes);
  boost::endian::store_big_u16(out + 12, aSourcePort);
  boost::endian::store_big_u16(out + 14, aDestinationPort);
  boost::endian::store_big_u32(out + 16, aSource);
  boost::endian::store_big_u32(out + 20, aDestination);
  boost::endian::store_big_u32(out + 24, aSequence);
  boost::endian::store_big_u32(out + 28, aAcknowledged);
  return bytes;
}

} // namespace

PacketBytes CallerPacket(const FlowKey& aFlow, std::uint8_t aFlags, std::uint32_t aSequence,
                         std::uint32_t aAcknowledged, std::uint16_t aDataBytes)
{
  return Packet(aFlow.mCallerAddress, aFlow.mCallerPort, aFlow.mServiceAddress, aFlow.mServicePort,
                aFlags, aSequence, aAcknowledged, aDataBytes);
}

PacketBytes UpstreamPacket(const FlowKey& aFlow, std::uint8_t aFlags, std::uint32_t aSequence,
                           std::uint16_t aDataBytes)
{
  return Packet(aFlow.mServiceAddress, aFlow.mServicePort, aFlow.mCallerAddress, aFlow.mCallerPort,
                aFlags, aSequence, 0, aDataBytes);
}

FlowKey TestFlow(std::uint16_t aCaller)
{
  constexpr std::uint32_t kCallers = 0x64400000; // 100.64.0.0
  constexpr std::uint32_t kService = 0xc6120001; // 198.18.0.1
  constexpr std::uint16_t kServicePort = 443;
  constexpr std::uint16_t kFirstPort = 10'000;
  return {kCallers + aCaller, static_cast<std::uint16_t>(kFirstPort + aCaller), kServicePort,
          kService};
}

Endpoint NodeEndpoint(unsigned aNode)
{
  return Endpoint::Parse("10.0.0." + std::to_string(aNode) + ":7720").value();
}

Configuration TestConfiguration(std::uint64_t aVersion, const std::vector<std::string>& aServices)
{
  Configuration configuration;
  configuration.mRevision = aVersion;
  configuration.mRoutes.mVersion = aVersion;
  Route route{"route", "198.18.0.1:443", {}, Milliseconds{1'000}, 0};
  for (const std::string& service : aServices) {
    route.mTargets.push_back({service, 1});
    configuration.mRoutes.mServices.push_back({service, 2'000, Milliseconds{2'000}, 0.0});
  }
  configuration.mRoutes.mRoutes.push_back(std::move(route));
  return configuration;
}

Member TestAgentMember(unsigned aNode, const std::string& aService, MemberState aState)
{
  Member member;
  member.mName = "agent-" + std::to_string(aNode);
  member.mService = aService;
  member.mDataCentre = "north";
  member.mDatagramEndpoint = NodeEndpoint(aNode).ToString();
  member.mIncarnation = 1;
  member.mState = aState;
  return member;
}

View TestView(std::uint64_t aRevision, const std::vector<Member>& aMembers)
{
  View view;
  view.mRevision = aRevision;
  for (const Member& member : aMembers) {
    view.mMembers[member.mName] = member;
  }
  return view;
}

void RecordingOutput::SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                                 std::span<const std::uint8_t> aPacket)
{
  mToNodes.push_back({aNode, aHeader, {aPacket.begin(), aPacket.end()}});
  if (aHeader.mType == NodeMessageType::Query || aHeader.mType == NodeMessageType::QueryLocal) {
    mQueries.push_back({aNode, FlowMessage::Decode(aPacket).value()});
  }
}

void RecordingOutput::Clear()
{
  mToNodes.clear();
  mToCallers.clear();
  mToUpstream.clear();
}

std::uint32_t RecordingOutput::NumberForAnswer(const Endpoint& aNode, const FlowKey& aFlow)
{
  std::uint32_t newest = 0;
  for (Query& query : mQueries) {
    if (query.mMessage.mFlows.front() != aFlow) {
      continue;
    }
    newest = query.mMessage.mNumber;
    if (query.mNode == aNode && !std::exchange(query.mAnswered, true)) {
      break;
    }
  }
  return newest;
}

std::size_t RecordingOutput::Resets() const
{
  return static_cast<std::size_t>(
    std::count_if(mToCallers.begin(), mToCallers.end(),
                  [](const PacketBytes& aPacket) { return (aPacket[kFlags] & FlagRst) != 0; }));
}

} // namespace dandelionslip
