// Routes of the packet plane, which assign new flows to services. Published together under one
// version; routing in lib/Route does not use them.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// A service that takes a share of a route's new flows.
struct RouteTarget
{
  std::string mService;
  std::uint32_t mWeight = 0; ///< Share relative to the other targets of the route.

  bool operator==(const RouteTarget&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RouteTarget& aValue)
{
  aVisitor.Field("service", aValue.mService);
  aVisitor.Field("weight", aValue.mWeight);
}

/// The targets of new flows to one address, and the limits of the requests sent on these flows.
struct Route
{
  std::string mName;
  std::string mAddress; ///< Numeric "address:port" to which callers send.
  std::vector<RouteTarget> mTargets;
  Milliseconds mTimeout{0}; ///< Maximum duration of a request on the route.
  /// Priority of the route's requests; 0 is the highest.
  std::uint32_t mPriority = 0;

  bool operator==(const Route&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Route& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("address", aValue.mAddress);
  aVisitor.Field("targets", aValue.mTargets);
  aVisitor.Field("timeout_ms", aValue.mTimeout);
  aVisitor.Optional("priority", aValue.mPriority);
}

/// Limits of a service that is a target of routes.
struct RoutedService
{
  std::string mName;
  std::uint32_t mMaxFlowsPerUpstream = 0; ///< Maximum number of flows that one upstream holds.
  Milliseconds mWarmUp{0};                ///< How long an upstream is cold after its start.
  /// New flows a second that a cold upstream takes, before the cold excess factor and the cold
  /// slack of the agent's settings are applied.
  double mColdOpeningsPerSecond = 0;

  bool operator==(const RoutedService&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RoutedService& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("max_flows", aValue.mMaxFlowsPerUpstream);
  aVisitor.Field("warm_up_ms", aValue.mWarmUp);
  aVisitor.Field("cold_opens_per_second", aValue.mColdOpeningsPerSecond);
}

/// All routes. Version 0 means that no route table was published.
struct RouteTable
{
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<RoutedService> mServices;
  Milliseconds mFlowIdleTimeout{0}; ///< A flow without packets for this long may be removed.

  /// The service with this name, or null.
  const RoutedService* FindService(std::string_view aName) const;

  bool operator==(const RouteTable&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RouteTable& aValue)
{
  aVisitor.Field("version", aValue.mVersion);
  aVisitor.Field("routes", aValue.mRoutes);
  aVisitor.Field("services", aValue.mServices);
  aVisitor.Field("flow_idle_timeout_ms", aValue.mFlowIdleTimeout);
}

/// Checks that service names and route addresses are distinct, that targets are declared services,
/// and that every route has a positive timeout and a target with a positive weight. Errors
/// (InvalidInput) name the route, the service or the address.
Result<void> CheckRouteTable(const RouteTable& aTable);

} // namespace dandelionslip
