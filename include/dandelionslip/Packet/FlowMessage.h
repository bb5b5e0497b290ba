// Small messages between nodes about where flows are.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/Error.h"

#include <cstdint>
#include <span>
#include <vector>

namespace dandelionslip {

/// Flows and, where the kind of message needs it, the agent that holds them. Follows a
/// NodeMessageHeader.
struct FlowMessage
{
  /// Most flows in one message, so that it fits into a datagram of 1,200 bytes.
  static constexpr std::size_t kMaxFlows = 80;

  Endpoint mHolder; ///< IPv4 only; all zero when the message names none.
  std::vector<FlowKey> mFlows;

  std::vector<std::uint8_t> Encode() const;
  /// InvalidInput: truncated, trailing bytes, or no flow.
  static Result<FlowMessage> Decode(std::span<const std::uint8_t> aBytes);
};

} // namespace dandelionslip
