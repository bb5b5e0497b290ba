// State shared by the parts of an agent's flow core.
#pragma once

#include "dandelionslip/Agent/FlowMessages.h"
#include "dandelionslip/Route/ServiceTable.h"

#include <map>
#include <span>
#include <string>

namespace dandelionslip {

/// Settings of a flow core.
struct FlowSettings
{
  std::string mName;        ///< Name of the agent and its upstream.
  std::string mServiceName; ///< Name of the service.
  Endpoint mEndpoint;       ///< Where the agent receives forwarded datagrams.
  std::uint64_t mIncarnation = 0;
  std::size_t mMaxFlows = 100'000;  ///< Capacity of the flow table.
  Milliseconds mRetryInterval{200}; ///< Unanswered requests to peers are repeated after this time.
  /// Idle timeout of flows that the upstream has never answered.
  Milliseconds mOpeningTimeout{10'000};
  Milliseconds mKeptStateLifetime{30'000}; ///< How long a backup keeps another agent's state.
};

/// The agent's flow table, and the newest view, configuration and service table.
struct FlowContext
{
  explicit FlowContext(FlowSettings aSettings)
    : mSettings(std::move(aSettings))
    , mFlows(mSettings.mMaxFlows)
  {
  }

  FlowSettings mSettings;
  View mView;
  Configuration mConfiguration;
  ServiceTable mTable;
  FlowTable mFlows;

  TableEpoch Epoch() const { return {mView.mRevision, mConfiguration.mRevision}; }
  bool IsSelf(const std::string& aName) const { return aName == mSettings.mName; }

  /// The member, or null.
  const TableMember* FindMember(const std::string& aName) const;

  /// The member if packets and messages can reach it or its backup, else null.
  const TableMember* FindReachableMember(const std::string& aName) const;

  /// The acting member for aName: itself, or its backup while it restarts. Null when it is not
  /// reachable.
  const TableMember* ActingFor(const std::string& aName) const;

  /// Name of the bucket's owner, empty when it has none.
  const std::string& OwnerOf(std::uint32_t aBucket) const;

  /// Whether this agent owns the bucket.
  bool Owns(std::uint32_t aBucket) const { return IsSelf(OwnerOf(aBucket)); }

  /// The flows of these buckets that this agent holds, by bucket.
  std::map<std::uint32_t, std::vector<DirectoryEntry>> HeldFlows(
    std::span<const std::uint32_t> aBuckets) const;
};

} // namespace dandelionslip
