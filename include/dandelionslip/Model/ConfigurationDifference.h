// The change from one configuration to a later one.
#pragma once

#include "dandelionslip/Model/Configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// Changes between two route tables. Its size does not depend on the number of unchanged routes.
struct RouteTableDifference
{
  std::uint64_t mVersion = 0;                     ///< Of the later table.
  std::map<std::string, Route> mRoutes;           ///< Added or changed routes by address.
  std::vector<std::string> mRemovedRoutes;        ///< Addresses.
  std::map<std::string, RoutedService> mServices; ///< Added or changed services by name.
  std::vector<std::string> mRemovedServices;
  Milliseconds mFlowIdleTimeout{0}; ///< Of the later table.

  bool operator==(const RouteTableDifference&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RouteTableDifference& aValue)
{
  aVisitor.Field("version", aValue.mVersion);
  aVisitor.Optional("routes", aValue.mRoutes);
  aVisitor.Optional("removed_routes", aValue.mRemovedRoutes);
  aVisitor.Optional("services", aValue.mServices);
  aVisitor.Optional("removed_services", aValue.mRemovedServices);
  aVisitor.Field("flow_idle_timeout_ms", aValue.mFlowIdleTimeout);
}

/// Changes between two configurations; applies only to the configuration with revision
/// mFromRevision.
struct ConfigurationDifference
{
  std::uint64_t mFromRevision = 0;
  std::uint64_t mToRevision = 0;
  std::map<std::string, ServiceEntry> mServices; ///< Added or changed services.
  std::vector<std::string> mRemovedServices;
  std::map<std::string, DataCentreState> mDataCentres; ///< Added or changed data centres.
  std::vector<std::string> mRemovedDataCentres;
  std::map<std::string, bool> mDrained; ///< Added or changed entries.
  std::vector<std::string> mRemovedDrained;
  /// The later route table, if the earlier configuration has none.
  std::optional<RouteTable> mRoutes;
  /// Present when the version of the route table changed otherwise.
  std::optional<RouteTableDifference> mRouteChanges;

  bool operator==(const ConfigurationDifference&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ConfigurationDifference& aValue)
{
  aVisitor.Field("from", aValue.mFromRevision);
  aVisitor.Field("to", aValue.mToRevision);
  aVisitor.Optional("services", aValue.mServices);
  aVisitor.Optional("removed_services", aValue.mRemovedServices);
  aVisitor.Optional("data_centres", aValue.mDataCentres);
  aVisitor.Optional("removed_data_centres", aValue.mRemovedDataCentres);
  aVisitor.Optional("drained", aValue.mDrained);
  aVisitor.Optional("removed_drained", aValue.mRemovedDrained);
  aVisitor.Optional("routes", aValue.mRoutes);
  aVisitor.Optional("route_changes", aValue.mRouteChanges);
}

/// The difference that changes aFrom into aTo.
ConfigurationDifference DifferenceBetween(const Configuration& aFrom, const Configuration& aTo);

/// Merges aSecond into aFirst; aSecond must start at the revision at which aFirst ends.
void MergeDifference(ConfigurationDifference& aFirst, const ConfigurationDifference& aSecond);

/// Applies the difference. Added routes and services follow the ones that the configuration has.
/// Errors, which leave aConfiguration unchanged: Conflict when its revision
/// is not mFromRevision, InvalidInput when mToRevision is not higher than mFromRevision.
Result<void> ApplyDifference(Configuration& aConfiguration,
                             const ConfigurationDifference& aDifference);

} // namespace dandelionslip
