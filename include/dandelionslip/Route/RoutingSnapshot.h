// Immutable routing tables used by the worker threads of a balancer.
#pragma once

#include "dandelionslip/Route/DataCentreLease.h"
#include "dandelionslip/Route/RouteDecision.h"
#include "dandelionslip/Route/ServiceTable.h"

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionslip {

/// Time after which a caller may retry work that a balancer refused.
inline constexpr Milliseconds kBalancerRetryAfter{500};

/// All service tables of one view and configuration. Safe for concurrent use.
class RoutingSnapshot
{
public:
  RoutingSnapshot() = default;
  RoutingSnapshot(const View& aView, const Configuration& aConfiguration,
                  const DataCentreLeases& aDataCentreLeases);

  std::uint64_t ViewRevision() const { return mViewRevision; }
  std::uint64_t ConfigurationRevision() const { return mConfigurationRevision; }

  /// Decides where one datagram of a caller goes. aService is the address to which it was sent,
  /// aOpening says that it opens a flow, and aBalancer is the endpoint at which this balancer
  /// receives replies.
  RouteDecision Route(const Endpoint& aCaller, const Endpoint& aService, bool aOpening,
                      const Endpoint& aBalancer, TimePoint aNow) const;

  /// The agent to which a request with this request id hash goes.
  std::variant<RequestRoute, Refusal> RouteRequest(std::string_view aServiceName,
                                                   std::uint64_t aRequestIdHash,
                                                   TimePoint aNow) const;

  /// Two candidates for an idempotent request without a request id. Each of the two random values
  /// selects a bucket, so members are drawn in proportion to their weights.
  std::variant<RequestCandidates, Refusal> CandidatesFor(std::string_view aServiceName,
                                                         std::array<std::uint64_t, 2> aRandom,
                                                         TimePoint aNow) const;

  /// The table of the service, or null.
  const ServiceTable* FindTable(std::string_view aServiceName) const;

private:
  /// Where the datagrams of a bucket go. Resolved when the snapshot is built, so that a datagram
  /// needs only one look-up.
  struct DatagramTarget
  {
    Endpoint mTo;
    /// Null when the bucket has no acting member or the member's data centre has no lease.
    const DataCentreLease* mLease = nullptr;
  };

  struct Service
  {
    ServiceTable mTable;
    std::vector<DatagramTarget> mOpeningTargets;     ///< For opening packets, by bucket.
    std::vector<DatagramTarget> mEstablishedTargets; ///< For all other packets, by bucket.
    /// Why flows and requests are refused while no member owns buckets.
    RefusalReason mReasonWithoutOwner = RefusalReason::NoUpstream;
  };

  struct AddressEntry
  {
    Endpoint mAddress;
    const Service* mService = nullptr;
  };

  void ResolveTargets(Service& aService) const;
  DatagramTarget DatagramTargetFor(const ServiceTable& aTable, MemberIndex aMember) const;
  void IndexAddresses(const std::vector<AddressEntry>& aAddresses);
  const Service* FindByAddress(const Endpoint& aAddress) const;
  const Service* FindByName(std::string_view aServiceName) const;
  std::optional<RequestTarget> RequestTargetFor(const Service& aService, MemberIndex aMember,
                                                TimePoint aNow) const;

  std::uint64_t mViewRevision = 0;
  std::uint64_t mConfigurationRevision = 0;
  DataCentreLeases mDataCentreLeases;
  std::map<std::string, std::unique_ptr<Service>, std::less<>> mServices;
  /// Hash table with open addressing; its size is a power of two.
  std::vector<AddressEntry> mAddresses;
};

} // namespace dandelionslip
