// Results of routing decisions.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Net/DatagramHeader.h"

#include <array>
#include <string>
#include <variant>

namespace dandelionslip {

/// Send the datagram to an agent, prefixed with this header.
struct ForwardDatagram
{
  Endpoint mTo;
  DatagramHeader mHeader;
};

/// Discard the datagram and count the reason.
struct DropDatagram
{
  RefusalReason mReason = RefusalReason::Malformed;
};

/// A Refusal is sent to the caller as a datagram of kind refused.
using RouteDecision = std::variant<ForwardDatagram, Refusal, DropDatagram>;

struct RequestTarget
{
  std::string mMember;
  std::string mRequestEndpoint;
};

/// Route of a request that carries a request id.
struct RequestRoute
{
  ServiceId mServiceId = 0;
  std::uint32_t mGeneration = 0;
  RequestTarget mOwner; ///< Owner of the request id's bucket; while it restarts, its backup.
  /// The member to which the owner may relay the request; may be absent.
  std::optional<RequestTarget> mAlternate;
};

/// Two randomly drawn members, of which the balancer chooses the one with fewer requests in flight.
/// They are equal when both draws gave the same member or only one of the members is reachable.
struct RequestCandidates
{
  ServiceId mServiceId = 0;
  std::array<RequestTarget, 2> mTargets;
};

} // namespace dandelionslip
