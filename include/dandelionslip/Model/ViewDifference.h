// The change from one view to a later one.
#pragma once

#include "dandelionslip/Model/View.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelionslip {

/// Changes between two views; applies only to the view with revision mFromRevision.
struct ViewDifference
{
  std::uint64_t mFromRevision = 0;
  std::uint64_t mToRevision = 0;
  std::map<std::string, Member> mMembers; ///< Added or changed members.
  std::vector<std::string> mRemovedMembers;
  std::map<std::string, ServiceView> mServices; ///< Added or changed services.
  std::vector<std::string> mRemovedServices;

  bool operator==(const ViewDifference&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ViewDifference& aValue)
{
  aVisitor.Field("from", aValue.mFromRevision);
  aVisitor.Field("to", aValue.mToRevision);
  aVisitor.Optional("members", aValue.mMembers);
  aVisitor.Optional("removed_members", aValue.mRemovedMembers);
  aVisitor.Optional("services", aValue.mServices);
  aVisitor.Optional("removed_services", aValue.mRemovedServices);
}

/// The difference that changes aFrom into aTo.
ViewDifference DifferenceBetween(const View& aFrom, const View& aTo);

/// Merges aSecond into aFirst; aSecond must start at the revision at which aFirst ends.
void MergeDifference(ViewDifference& aFirst, const ViewDifference& aSecond);

/// Applies the difference. Errors, which leave aView unchanged: Conflict when its revision is not
/// mFromRevision, InvalidInput when mToRevision is not higher than mFromRevision.
Result<void> ApplyDifference(View& aView, const ViewDifference& aDifference);

} // namespace dandelionslip
