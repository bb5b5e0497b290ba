// The change from one view to a later one.
#pragma once

#include "dandelionslip/Model/View.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelionslip {

/// Changes between two views; applies only to the view with revision mFrom.
struct ViewDifference
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::map<std::string, Member> mMembers;
  std::vector<std::string> mRemovedMembers;
  std::map<std::string, ServiceView> mServices;
  std::vector<std::string> mRemovedServices;

  bool operator==(const ViewDifference&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ViewDifference& aValue)
{
  aVisitor.Field("from", aValue.mFrom);
  aVisitor.Field("to", aValue.mTo);
  aVisitor.Optional("members", aValue.mMembers);
  aVisitor.Optional("removed_members", aValue.mRemovedMembers);
  aVisitor.Optional("services", aValue.mServices);
  aVisitor.Optional("removed_services", aValue.mRemovedServices);
}

/// The difference that changes aFrom into aTo.
ViewDifference DifferenceBetween(const View& aFrom, const View& aTo);

/// Adds the changes of aSecond to aFirst; aSecond must start at the revision at which aFirst ends.
void AppendDifference(ViewDifference& aFirst, const ViewDifference& aSecond);

/// Applies the difference. Errors, which leave aView unchanged: Conflict when its revision is not
/// mFrom, InvalidInput when mTo is not higher than mFrom.
Result<void> ApplyDifference(View& aView, const ViewDifference& aDifference);

} // namespace dandelionslip
