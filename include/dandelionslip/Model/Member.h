// A balancer or agent as an entry of the view.
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
  Cold,       ///< Its load limit still grows after a start or a reset to cold.
  Serving,    ///< Takes new work up to its weight.
  Draining,   ///< Keeps established flows but takes no new work.
  Restarting, ///< Stopped as planned; its backup keeps its state.
  Left,       ///< Stopped permanently.
  Lost,       ///< Its lease expired without a planned stop.
};

std::span<const EnumName<MemberState>> EnumNames(MemberState);

/// A balancer or agent.
struct Member
{
  std::string mName; ///< Unique; for an agent the name of its upstream.
  MemberKind mKind = MemberKind::Agent;
  std::string mService; ///< Empty for balancers.
  std::string mDataCentre;
  std::string mDatagramEndpoint; ///< UDP "address:port" for datagrams with a DatagramHeader.
  std::string mRequestEndpoint;  ///< TCP "address:port" for HTTP/2.
  std::uint64_t mIncarnation = 0;
  MemberState mState = MemberState::Cold;
  /// The agent that keeps the state of this agent while it restarts, and acts for it.
  std::string mBackup;

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
  // The key is an earlier name of the field, kept for compatibility.
  aVisitor.Optional("custodian", aValue.mBackup);
}

/// Whether the member takes new flows and requests.
bool TakesNewWork(MemberState aState);

/// Whether the member may still hold flows, so that packets of these flows must reach it.
bool HoldsFlows(MemberState aState);

} // namespace dandelionslip
