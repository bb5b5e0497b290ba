// A balancer or agent as known to the control replicas.
#pragma once

#include "dandelionslip/Support/Fields.h"

#include <cstdint>
#include <string>

namespace dandelionslip {

enum class MemberKind
{
  Balancer,
  Agent,
};

std::span<const EnumName<MemberKind>> EnumNames(MemberKind);

enum class MemberState
{
  Cold,       ///< Ramping up after a start or a return to cold.
  Serving,    ///< Takes new work up to its weight.
  Draining,   ///< Keeps established flows, takes no new work.
  Restarting, ///< Planned stop; a peer holds its state.
  Left,       ///< Stopped for good.
  Lost,       ///< Its lease ended without a planned stop.
};

std::span<const EnumName<MemberState>> EnumNames(MemberState);

/// One node of the system.
struct Member
{
  std::string mName; ///< Unique; for an agent the name of its upstream.
  MemberKind mKind = MemberKind::Agent;
  std::string mService; ///< Empty for balancers.
  std::string mDataCentre;
  std::string mDatagramEndpoint; ///< UDP "address:port" for the forward header.
  std::string mRequestEndpoint;  ///< TCP "address:port" for HTTP/2.
  std::uint64_t mIncarnation = 0;
  MemberState mState = MemberState::Cold;
  std::string mBackup; ///< Peer that holds the state of a restarting agent.

  bool operator==(const Member&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Member& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("kind", aValue.mKind);
  aVisitor.Optional("service", aValue.mService);
  aVisitor.Field("data_centre", aValue.mDataCentre);
  aVisitor.Field("datagram_endpoint", aValue.mDatagramEndpoint);
  aVisitor.Field("request_endpoint", aValue.mRequestEndpoint);
  aVisitor.Field("incarnation", aValue.mIncarnation);
  aVisitor.Field("state", aValue.mState);
  aVisitor.Optional("custodian", aValue.mBackup);
}

/// Whether the member may be offered new flows and requests.
bool TakesNewWork(MemberState aState);

/// Whether the member still holds flows that must be reachable.
bool HoldsFlows(MemberState aState);

} // namespace dandelionslip
