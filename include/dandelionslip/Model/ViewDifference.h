// The change from one view to a later one.
#pragma once

#include "dandelionslip/Model/View.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelionslip {

/// What changed between two views; applies only to the view with revision mFrom.
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

/// The difference that leads from aFrom to aTo.
ViewDifference DifferenceBetween(const View& aFrom, const View& aTo);

/// Extends aFirst by aSecond, which starts where aFirst ends.
void AppendDifference(ViewDifference& aFirst, const ViewDifference& aSecond);

/// Applies the difference whole or not at all. Conflict: aView has another revision than mFrom;
/// InvalidInput: the difference does not lead to a higher revision.
Result<void> ApplyDifference(View& aView, const ViewDifference& aDifference);

} // namespace dandelionslip
