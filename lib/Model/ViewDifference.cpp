// Computes, merges and applies view differences.
#include "dandelionslip/Model/ViewDifference.h"

#include "MapDifference.h"

namespace dandelionslip {

ViewDifference DifferenceBetween(const View& aFrom, const View& aTo)
{
  ViewDifference difference;
  difference.mFrom = aFrom.mRevision;
  difference.mTo = aTo.mRevision;
  CollectChanges(aFrom.mMembers, aTo.mMembers, difference.mMembers, difference.mRemovedMembers);
  CollectChanges(aFrom.mServices, aTo.mServices, difference.mServices, difference.mRemovedServices);
  return difference;
}

void AppendDifference(ViewDifference& aFirst, const ViewDifference& aSecond)
{
  aFirst.mTo = aSecond.mTo;
  MergeChanges(aFirst.mMembers, aFirst.mRemovedMembers, aSecond.mMembers, aSecond.mRemovedMembers);
  MergeChanges(aFirst.mServices, aFirst.mRemovedServices, aSecond.mServices,
               aSecond.mRemovedServices);
}

Result<void> ApplyDifference(View& aView, const ViewDifference& aDifference)
{
  if (auto check =
        CheckDifference(aView.mRevision, aDifference.mFrom, aDifference.mTo, "view.apply");
      !check) {
    return check;
  }
  ApplyChanges(aView.mMembers, aDifference.mMembers, aDifference.mRemovedMembers);
  ApplyChanges(aView.mServices, aDifference.mServices, aDifference.mRemovedServices);
  aView.mRevision = aDifference.mTo;
  return Ok();
}

} // namespace dandelionslip
