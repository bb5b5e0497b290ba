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
  RequestTarget mActingMember; ///< The acting member for the request id's bucket.
  /// The member to which the acting member may relay the request. Empty when the bucket has no
  /// alternate or the lease of the alternate's data centre is not valid.
  std::optional<RequestTarget> mAlternate;
};

/// Two randomly drawn members, of which the balancer chooses the one with fewer requests in flight.
/// They are equal when both draws gave the same member, or when only one draw gave a member whose
/// data centre has a valid lease.
struct RequestCandidates
{
  ServiceId mServiceId = 0;
  std::array<RequestTarget, 2> mTargets;
};

} // namespace dandelionslip
