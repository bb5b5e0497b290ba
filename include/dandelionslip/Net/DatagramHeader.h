// Encoding of the datagrams between balancers and agents: a fixed-size header and a payload.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Support/Error.h"

#include <array>
#include <cstdint>
#include <span>

namespace dandelionslip {

enum class DatagramKind : std::uint8_t
{
  Forward = 1,          ///< Balancer or agent to agent; the payload is the caller's datagram.
  Reply = 2,            ///< Agent to balancer; the payload goes to the caller unchanged.
  Refuse = 3,           ///< Agent to balancer; the payload is a caller datagram of kind refused.
  StateProbe = 4,       ///< State probe of a balancer without a valid lease to an agent.
  StateProbeAnswer = 5, ///< Agent to balancer, in answer to StateProbe.
};

/// Size of the encoded header in bytes.
inline constexpr std::size_t kDatagramHeaderSize = 98;

/// Largest payload after the header in bytes.
inline constexpr std::size_t kMaxDatagramPayload = 1400;

/// Fields of the header. StateProbe and StateProbeAnswer use only mViewRevision, mFlowHash,
/// mLeaseValid and mBalancer.
struct DatagramHeader
{
  DatagramKind mKind = DatagramKind::Forward;
  bool mOpening = false;    ///< The caller's datagram opens a flow.
  bool mRedirected = false; ///< The owner chose the receiving agent as holder of the flow.
  bool mLeaseValid = false; ///< StateProbeAnswer: the agent's lease is valid.
  std::uint8_t mHops = 0;   ///< Forwards between agents so far.
  ServiceId mServiceId = 0;
  std::uint64_t mViewRevision = 0;
  std::uint32_t mGeneration = 0; ///< Newest generation of the service in that view.
  /// Forward, Reply, Refuse: flow hash. StateProbe, StateProbeAnswer: configuration revision of the
  /// sender. The view revision alone does not show that a data centre was taken out, because that
  /// changes only the configuration.
  std::uint64_t mFlowHash = 0;
  Endpoint mCaller;
  Endpoint mService;  ///< Service address that the caller sent to.
  Endpoint mBalancer; ///< Balancer through which replies reach the caller.

  bool operator==(const DatagramHeader&) const = default;
};

/// A decoded datagram; the payload points into the decoded bytes.
struct DecodedDatagram
{
  DatagramHeader mHeader;
  std::span<const std::uint8_t> mPayload;
};

/// Encodes the header into exactly kDatagramHeaderSize bytes.
std::array<std::uint8_t, kDatagramHeaderSize> EncodeDatagramHeader(const DatagramHeader& aHeader);

/// Validates and decodes a datagram. Errors: InvalidInput for a wrong magic number or length, or an
/// unknown version, kind or flag; Corrupt for a wrong checksum.
Result<DecodedDatagram> DecodeDatagram(std::span<const std::uint8_t> aBytes);

} // namespace dandelionslip
