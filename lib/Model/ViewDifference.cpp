// Computes, merges and applies view differences.
#include "dandelionslip/Model/ViewDifference.h"

#include "MapDifference.h"

namespace dandelionslip {

ViewDifference DifferenceBetween(const View& aFrom, const View& aTo)
{
  ViewDifference difference;
  difference.mFromRevision = aFrom.mRevision;
  difference.mToRevision = aTo.mRevision;
  CollectChanges(aFrom.mMembers, aTo.mMembers, difference.mMembers, difference.mRemovedMembers);
  CollectChanges(aFrom.mServices, aTo.mServices, difference.mServices, difference.mRemovedServices);
  return difference;
}

void MergeDifference(ViewDifference& aFirst, const ViewDifference& aSecond)
{
  aFirst.mToRevision = aSecond.mToRevision;
  MergeChanges(aFirst.mMembers, aFirst.mRemovedMembers, aSecond.mMembers, aSecond.mRemovedMembers);
  MergeChanges(aFirst.mServices, aFirst.mRemovedServices, aSecond.mServices,
               aSecond.mRemovedServices);
}

Result<void> ApplyDifference(View& aView, const ViewDifference& aDifference)
{
  if (auto check = CheckDifference(aView.mRevision, aDifference.mFromRevision,
                                   aDifference.mToRevision, "view.apply");
      !check) {
    return check;
  }
  ApplyChanges(aView.mMembers, aDifference.mMembers, aDifference.mRemovedMembers);
  ApplyChanges(aView.mServices, aDifference.mServices, aDifference.mRemovedServices);
  aView.mRevision = aDifference.mToRevision;
  return Ok();
}

} // namespace dandelionslip
