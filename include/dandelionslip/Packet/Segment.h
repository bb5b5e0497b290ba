// A packet of a flow as the decision cores see it.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace dandelionslip {

/// The decoded header of one packet.
struct Segment
{
  FlowKey mFlow;
  bool mOpens = false;   ///< First packet of a flow, or a copy of it.
  bool mAccepts = false; ///< The upstream's answer to the first packet.
  bool mEnds = false;    ///< The sender sends no further data.
  bool mResets = false;
  bool mBounced = false; ///< The upstream gave the packet back: it does not hold the flow.
  std::uint32_t mRetransmission = 0; ///< Of a packet that opens a flow; 0 is the first one.
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint16_t mDataBytes = 0;
  /// Chosen by the agent that delivered the packet; comes back on a bounced packet.
  std::uint32_t mTag = 0;
};

/// Reads and writes the packet format of callers and upstreams. Implementations hold no state.
class SegmentCodec
{
public:
  virtual ~SegmentCodec() = default;

  /// Decodes a packet that a caller sent, or one that came back bounced; empty when malformed.
  virtual std::optional<Segment> DecodeFromCaller(std::span<const std::uint8_t> aBytes) const = 0;
  /// Decodes a packet that an upstream sent to a caller; empty when malformed.
  virtual std::optional<Segment> DecodeFromUpstream(std::span<const std::uint8_t> aBytes) const = 0;
  /// Whether the upstream gave this packet back.
  virtual bool IsBounced(std::span<const std::uint8_t> aBytes) const = 0;
  /// Sets the tag of a packet on its way to an upstream.
  virtual void SetTag(std::span<std::uint8_t> aBytes, std::uint32_t aTag) const = 0;
  /// Takes back the marks that a bounced packet carries, so that it can be delivered elsewhere.
  virtual void ClearBounce(std::span<std::uint8_t> aBytes) const = 0;
  /// A reset to the caller of a flow. aSequence must be close to the caller's last acknowledgement
  /// when the flow is open.
  virtual std::vector<std::uint8_t> EncodeReset(const FlowKey& aFlow,
                                                std::uint32_t aSequence) const = 0;
};

} // namespace dandelionslip
