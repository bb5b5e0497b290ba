// Results of routing decisions.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Net/DatagramHeader.h"

#include <array>
#include <string>
#include <variant>

namespace dandelionslip {

/// Send the datagram to an agent behind this header.
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

/// Refusal is answered to the caller as a datagram of kind refused.
using RouteDecision = std::variant<ForwardDatagram, Refusal, DropDatagram>;

/// An agent that a request is sent to.
struct RequestTarget
{
  std::string mMember;
  std::string mRequestEndpoint;
};

/// Where a request goes.
struct RequestRoute
{
  ServiceId mServiceId = 0;
  std::uint32_t mGeneration = 0;
  RequestTarget mOwner;                    ///< Owner of the request id's bucket.
  std::optional<RequestTarget> mAlternate; ///< For the home agent's information; may be absent.
};

/// The two members of which the one with fewer requests in flight is chosen; they may be equal
/// when the service has one member.
struct RequestCandidates
{
  ServiceId mServiceId = 0;
  std::array<RequestTarget, 2> mTargets;
};

} // namespace dandelionslip
