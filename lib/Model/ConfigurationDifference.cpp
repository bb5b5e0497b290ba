// Computes, merges and applies configuration differences.
#include "dandelionslip/Model/ConfigurationDifference.h"

#include "MapDifference.h"

#include <set>

namespace dandelionslip {

namespace {

const std::string& KeyOf(const Route& aRoute)
{
  return aRoute.mAddress;
}

const std::string& KeyOf(const RoutedService& aService)
{
  return aService.mName;
}

template <typename T>
std::map<std::string, T> ByKey(const std::vector<T>& aItems)
{
  std::map<std::string, T> items;
  for (const T& item : aItems) {
    items.emplace(KeyOf(item), item);
  }
  return items;
}

template <typename T>
void ApplyToList(std::vector<T>& aItems, const std::map<std::string, T>& aChanged,
                 const std::vector<std::string>& aRemoved)
{
  const std::set<std::string> removed(aRemoved.begin(), aRemoved.end());
  std::erase_if(aItems, [&](const T& aItem) { return removed.contains(KeyOf(aItem)); });
  std::map<std::string, T> added = aChanged;
  for (T& item : aItems) {
    if (auto changed = added.extract(KeyOf(item))) {
      item = std::move(changed.mapped());
    }
  }
  for (auto& [key, item] : added) {
    aItems.push_back(std::move(item));
  }
}

RouteTableDifference DifferenceBetween(const RouteTable& aFrom, const RouteTable& aTo)
{
  RouteTableDifference difference;
  difference.mVersion = aTo.mVersion;
  difference.mFlowIdleTimeout = aTo.mFlowIdleTimeout;
  CollectChanges(ByKey(aFrom.mRoutes), ByKey(aTo.mRoutes), difference.mRoutes,
                 difference.mRemovedRoutes);
  CollectChanges(ByKey(aFrom.mServices), ByKey(aTo.mServices), difference.mServices,
                 difference.mRemovedServices);
  return difference;
}

void ApplyDifference(RouteTable& aTable, const RouteTableDifference& aDifference)
{
  aTable.mVersion = aDifference.mVersion;
  aTable.mFlowIdleTimeout = aDifference.mFlowIdleTimeout;
  ApplyToList(aTable.mRoutes, aDifference.mRoutes, aDifference.mRemovedRoutes);
  ApplyToList(aTable.mServices, aDifference.mServices, aDifference.mRemovedServices);
}

void MergeRoutes(ConfigurationDifference& aFirst, const ConfigurationDifference& aSecond)
{
  if (aSecond.mRoutes) {
    aFirst.mRoutes = aSecond.mRoutes;
    aFirst.mRouteChanges.reset();
  }
  if (!aSecond.mRouteChanges) {
    return;
  }
  if (aFirst.mRoutes) {
    ApplyDifference(*aFirst.mRoutes, *aSecond.mRouteChanges);
    return;
  }
  if (!aFirst.mRouteChanges) {
    aFirst.mRouteChanges = aSecond.mRouteChanges;
    return;
  }
  RouteTableDifference& first = *aFirst.mRouteChanges;
  const RouteTableDifference& second = *aSecond.mRouteChanges;
  first.mVersion = second.mVersion;
  first.mFlowIdleTimeout = second.mFlowIdleTimeout;
  MergeChanges(first.mRoutes, first.mRemovedRoutes, second.mRoutes, second.mRemovedRoutes);
  MergeChanges(first.mServices, first.mRemovedServices, second.mServices, second.mRemovedServices);
}

} // namespace

ConfigurationDifference DifferenceBetween(const Configuration& aFrom, const Configuration& aTo)
{
  ConfigurationDifference difference;
  difference.mFromRevision = aFrom.mRevision;
  difference.mToRevision = aTo.mRevision;
  CollectChanges(aFrom.mServices, aTo.mServices, difference.mServices, difference.mRemovedServices);
  CollectChanges(aFrom.mDataCentres, aTo.mDataCentres, difference.mDataCentres,
                 difference.mRemovedDataCentres);
  CollectChanges(aFrom.mDrained, aTo.mDrained, difference.mDrained, difference.mRemovedDrained);
  if (aFrom.mRoutes.mVersion == 0 && aTo.mRoutes.mVersion != 0) {
    difference.mRoutes = aTo.mRoutes;
  } else if (aFrom.mRoutes.mVersion != aTo.mRoutes.mVersion) {
    difference.mRouteChanges = DifferenceBetween(aFrom.mRoutes, aTo.mRoutes);
  }
  return difference;
}

void MergeDifference(ConfigurationDifference& aFirst, const ConfigurationDifference& aSecond)
{
  aFirst.mToRevision = aSecond.mToRevision;
  MergeChanges(aFirst.mServices, aFirst.mRemovedServices, aSecond.mServices,
               aSecond.mRemovedServices);
  MergeChanges(aFirst.mDataCentres, aFirst.mRemovedDataCentres, aSecond.mDataCentres,
               aSecond.mRemovedDataCentres);
  MergeChanges(aFirst.mDrained, aFirst.mRemovedDrained, aSecond.mDrained, aSecond.mRemovedDrained);
  MergeRoutes(aFirst, aSecond);
}

Result<void> ApplyDifference(Configuration& aConfiguration,
                             const ConfigurationDifference& aDifference)
{
  if (auto check = CheckDifference(aConfiguration.mRevision, aDifference.mFromRevision,
                                   aDifference.mToRevision, "configuration.apply");
      !check) {
    return check;
  }
  ApplyChanges(aConfiguration.mServices, aDifference.mServices, aDifference.mRemovedServices);
  ApplyChanges(aConfiguration.mDataCentres, aDifference.mDataCentres,
               aDifference.mRemovedDataCentres);
  ApplyChanges(aConfiguration.mDrained, aDifference.mDrained, aDifference.mRemovedDrained);
  if (aDifference.mRoutes) {
    aConfiguration.mRoutes = *aDifference.mRoutes;
  }
  if (aDifference.mRouteChanges) {
    ApplyDifference(aConfiguration.mRoutes, *aDifference.mRouteChanges);
  }
  aConfiguration.mRevision = aDifference.mToRevision;
  return Ok();
}

} // namespace dandelionslip
