// The change from one configuration to a later one.
#pragma once

#include "dandelionslip/Model/Configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// Changes between two configurations; applies only to the configuration with revision mFrom.
struct ConfigurationDifference
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::map<std::string, ServiceEntry> mServices;
  std::vector<std::string> mRemovedServices;
  std::map<std::string, DataCentreState> mDataCentres;
  std::vector<std::string> mRemovedDataCentres;
  std::map<std::string, bool> mDrained;
  std::vector<std::string> mRemovedDrained;
  std::optional<RouteTable> mRoutes; ///< Present when the version of the route table changed.

  bool operator==(const ConfigurationDifference&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ConfigurationDifference& aValue)
{
  aVisitor.Field("from", aValue.mFrom);
  aVisitor.Field("to", aValue.mTo);
  aVisitor.Optional("services", aValue.mServices);
  aVisitor.Optional("removed_services", aValue.mRemovedServices);
  aVisitor.Optional("data_centres", aValue.mDataCentres);
  aVisitor.Optional("removed_data_centres", aValue.mRemovedDataCentres);
  aVisitor.Optional("drained", aValue.mDrained);
  aVisitor.Optional("removed_drained", aValue.mRemovedDrained);
  aVisitor.Optional("routes", aValue.mRoutes);
}

/// The difference that changes aFrom into aTo.
ConfigurationDifference DifferenceBetween(const Configuration& aFrom, const Configuration& aTo);

/// Adds the changes of aSecond to aFirst; aSecond must start at the revision at which aFirst ends.
void AppendDifference(ConfigurationDifference& aFirst, const ConfigurationDifference& aSecond);

/// Applies the difference. Errors, which leave aConfiguration unchanged: Conflict when its revision
/// is not mFrom, InvalidInput when mTo is not higher than mFrom.
Result<void> ApplyDifference(Configuration& aConfiguration,
                             const ConfigurationDifference& aDifference);

} // namespace dandelionslip
