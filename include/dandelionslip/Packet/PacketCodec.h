// Decoded packets and the interface of their codec.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace dandelionslip {

/// The decoded header of one packet.
struct PacketHeader
{
  FlowKey mFlow;
  bool mOpens = false;          ///< Opening packet, or a retransmission of it.
  bool mAcceptsOpening = false; ///< The upstream's answer to the opening packet.
  bool mEnds = false;           ///< The sender will send no further data.
  bool mResets = false;
  bool mBounced = false; ///< The upstream sent the packet back because it does not hold the flow.
  std::uint32_t mRetransmission =
    0; ///< Number of an opening packet's retransmission; 0 for the original.
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint16_t mDataBytes = 0;
  /// Number that the agent writes into each packet that it delivers. A bounced packet still has it,
  /// so that the agent finds the delivery. In a Probe: the number of the balancer's search.
  std::uint32_t mTag = 0;
};

/// Codec of the packet format that callers and upstreams use. Implementations hold no state.
class PacketCodec
{
public:
  virtual ~PacketCodec() = default;

  /// Decodes a packet that a caller sent, bounced or not; empty if malformed.
  virtual std::optional<PacketHeader> DecodeFromCaller(
    std::span<const std::uint8_t> aBytes) const = 0;
  /// Decodes a packet that an upstream sent to a caller; empty if malformed.
  virtual std::optional<PacketHeader> DecodeFromUpstream(
    std::span<const std::uint8_t> aBytes) const = 0;
  /// Whether the upstream bounced the packet.
  virtual bool IsBounced(std::span<const std::uint8_t> aBytes) const = 0;
  /// Sets the tag of a packet on its way to an upstream.
  virtual void SetTag(std::span<std::uint8_t> aBytes, std::uint32_t aTag) const = 0;
  /// Removes the bounce mark and the tag from a packet, so that it can be delivered elsewhere.
  virtual void ClearBounce(std::span<std::uint8_t> aBytes) const = 0;
  /// Encodes a reset from the service to the caller of a flow. If the flow is open, aSequence must
  /// be close to the caller's last acknowledgement.
  virtual std::vector<std::uint8_t> EncodeReset(const FlowKey& aFlow,
                                                std::uint32_t aSequence) const = 0;
};

} // namespace dandelionslip
