// Computes, merges and applies configuration differences.
#include "dandelionslip/Model/ConfigurationDifference.h"

#include "MapDifference.h"

namespace dandelionslip {

ConfigurationDifference DifferenceBetween(const Configuration& aFrom, const Configuration& aTo)
{
  ConfigurationDifference difference;
  difference.mFromRevision = aFrom.mRevision;
  difference.mToRevision = aTo.mRevision;
  CollectChanges(aFrom.mServices, aTo.mServices, difference.mServices, difference.mRemovedServices);
  CollectChanges(aFrom.mDataCentres, aTo.mDataCentres, difference.mDataCentres,
                 difference.mRemovedDataCentres);
  CollectChanges(aFrom.mDrained, aTo.mDrained, difference.mDrained, difference.mRemovedDrained);
  if (aFrom.mRoutes.mVersion != aTo.mRoutes.mVersion) {
    difference.mRoutes = aTo.mRoutes;
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
  if (aSecond.mRoutes) {
    aFirst.mRoutes = aSecond.mRoutes;
  }
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
  aConfiguration.mRevision = aDifference.mToRevision;
  return Ok();
}

} // namespace dandelionslip
