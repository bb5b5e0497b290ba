// Payload of messages that find or register the holder of a flow.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/Error.h"

#include <cstdint>
#include <span>
#include <vector>

namespace dandelionslip {

/// Flows and, for message types that need it, the agent that holds them. Follows a
/// NodeMessageHeader.
struct FlowMessage
{
  /// Maximum number of flows in one message; keeps it within a datagram of 1,200 bytes.
  static constexpr std::size_t kMaxFlows = 80;

  Endpoint mHolder; ///< IPv4 only; all zero if the message names no holder.
  std::vector<FlowKey> mFlows;
  /// DirectoryAgents::Digest() of the sender's view. An acknowledgement has that of the
  /// registration.
  std::uint64_t mAgentsDigest = 0;
  /// Of a balancer's query; the answer has the same.
  std::uint32_t mNumber = 0;
  /// Of the caller's packet whose flow a query is for: flows use a port one after the other.
  std::uint32_t mSequence = 0;

  std::vector<std::uint8_t> Encode() const;
  /// Fails with InvalidInput if the message is truncated, has trailing bytes, or contains no flow
  /// or too many.
  static Result<FlowMessage> Decode(std::span<const std::uint8_t> aBytes);
};

} // namespace dandelionslip
