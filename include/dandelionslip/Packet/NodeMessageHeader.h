// Header of datagrams between balancers and agents of the packet plane.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <array>
#include <cstdint>
#include <span>

namespace dandelionslip {

enum class NodeMessageType : std::uint8_t
{
  Deliver = 1,   ///< To an agent: deliver the packet to the upstream, or return it.
  DeliverIfHeld, ///< To an agent that was unsure: deliver the packet, to see if its flow is held.
  Returned,      ///< To a balancer: the agent does not take the packet; mReason says why.
  Load,          ///< To a balancer: a LoadReport follows.
  // A FlowMessage follows the kinds below.
  Query,        ///< To an agent: does the upstream hold the flow, or is it registered here?
  QueryHeld,    ///< To an agent: does the upstream hold the flow?
  Held,         ///< To a balancer: the agent that holds the flow.
  NotFound,     ///< To a balancer: the flow is not held here, or not known either.
  Unsure,       ///< To a balancer: only the upstream knows; it needs a packet of the flow.
  Register,     ///< To a home agent: flows that the sender holds.
  RegisterAck,  ///< To an agent: its flows are registered here.
  Unregistered, ///< To a balancer: like NotFound, from a home whose directory is complete.
};

/// Why an agent returned a packet.
enum class ReturnReason : std::uint8_t
{
  None,
  NotHeld,      ///< The upstream does not hold the flow.
  Refused,      ///< The upstream gave the opening packet back.
  Unresponsive, ///< The upstream did not answer an earlier copy of the opening packet.
  Draining,     ///< The upstream leaves or its data centre is out.
  Cold,         ///< The upstream is cold and has been opened as many flows as it can bear.
  WrongService, ///< The route does not lead to the upstream's service.
  NoUpstream,   ///< The agent has not heard from its upstream.

};

inline constexpr std::size_t kReturnReasons = 8;

std::string_view ToString(ReturnReason aReason);

/// Four bytes in front of every datagram between nodes.
struct NodeMessageHeader
{
  NodeMessageType mKind = NodeMessageType::Deliver;
  ReturnReason mReason = ReturnReason::None;

  static constexpr std::size_t kBytes = 4;

  std::array<std::uint8_t, kBytes> Encode() const;
  /// InvalidInput: wrong magic, version, kind or reason, or too short.
  static Result<NodeMessageHeader> Decode(std::span<const std::uint8_t> aBytes);
};

} // namespace dandelionslip
