// Header of messages between packet balancers and packet agents, and between agents.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <array>
#include <cstdint>
#include <span>

namespace dandelionslip {

/// Message types, with the receiver and the meaning of each.
enum class NodeMessageType : std::uint8_t
{
  Deliver = 1, ///< To an agent: deliver the packet to the upstream, or return it.
  /// To an agent: deliver the packet and report whether the upstream holds its flow. The tag is the
  /// number of the search, which the answer names.
  Probe,
  Returned,   ///< To a balancer: the agent did not accept the packet; mReason says why.
  LoadReport, ///< To a balancer: a LoadReport follows.
  // The payload of the types below is a FlowMessage.
  Query,       ///< To an agent: which agent holds the flow, by its table or its directory?
  QueryLocal,  ///< To an agent: does its own upstream hold the flow?
  HolderFound, ///< To a balancer: the agent that holds the flow.
  NotFound,    ///< To a balancer: the flow is neither held nor, for a Query, registered here.
  ProbeNeeded, ///< To a balancer: only the upstream knows; send a packet of the flow as a Probe.
  Register,    ///< To a directory agent: flows that the sender holds.
  RegisterAck, ///< To an agent: its flows are registered here. A copy of the Register.
  /// To a balancer: like NotFound, from an agent whose view contains its current incarnation. A
  /// holder would have registered the flow with it. Counts only at balancers with the same agents.
  NotRegistered,
  // Types below are sent only to nodes that have shown that they know them.
  Offer,        ///< To an agent: like Deliver for an opening, which may be returned as busy.
  LastOffer,    ///< To an agent: like Offer; the balancer will offer it to no other agent.
  ReportFormat, ///< To an agent: one byte, the highest format of load reports that is understood.
};

/// Why an agent returned a packet.
enum class ReturnReason : std::uint8_t
{
  None,
  NotHeld,      ///< The upstream does not hold the flow.
  Refused,      ///< The upstream bounced the opening packet, or the agent's flow table is full.
  Unresponsive, ///< The upstream does not answer opening packets.
  Draining,     ///< The upstream or its agent is stopping, or its data centre is out of service.
  Cold,         ///< The upstream is cold and has reached its limit of new flows per second.
  WrongService, ///< No target of the route is the upstream's service.
  NoUpstream,   ///< The agent has had no recent heartbeat, or the upstream has exited.
  // Reasons below are given only for offers.
  Busy,    ///< The request would wait too long at this upstream.
  Failing, ///< The upstream fails although its heartbeats are good.
};

inline constexpr std::size_t kReturnReasons = 10;

std::string_view ToString(ReturnReason aReason);

/// Four bytes in front of every datagram between packet balancers and packet agents, and between
/// agents.
struct NodeMessageHeader
{
  NodeMessageType mType = NodeMessageType::Deliver;
  ReturnReason mReason = ReturnReason::None;

  static constexpr std::size_t kBytes = 4;

  std::array<std::uint8_t, kBytes> Encode() const;
  /// Fails with InvalidInput if aBytes is too short or the magic number, version, type or reason is
  /// not a valid one.
  static Result<NodeMessageHeader> Decode(std::span<const std::uint8_t> aBytes);
};

} // namespace dandelionslip
