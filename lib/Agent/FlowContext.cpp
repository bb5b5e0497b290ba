// Look-ups in the shared state of a flow core.
#include "dandelionslip/Agent/FlowContext.h"

#include "dandelionslip/Route/FlowHash.h"

namespace dandelionslip {

const TableMember* FlowContext::FindMember(const std::string& aName) const
{
  const MemberIndex index = mTable.Find(aName);
  return index == kNoMember ? nullptr : &mTable.Members()[index];
}

const TableMember* FlowContext::FindReachableMember(const std::string& aName) const
{
  const TableMember* member = FindMember(aName);
  return member == nullptr || member->mExcluded ? nullptr : member;
}

const TableMember* FlowContext::ActingFor(const std::string& aName) const
{
  if (FindReachableMember(aName) == nullptr) {
    return nullptr;
  }
  return &mTable.Members()[mTable.ActingFor(mTable.Find(aName))];
}

const std::string& FlowContext::OwnerOf(std::uint32_t aBucket) const
{
  static const std::string kNone;
  if (aBucket >= mTable.Buckets()) {
    return kNone;
  }
  const MemberIndex owner = mTable.Assignment().Owner(aBucket);
  return owner == kNoMember ? kNone : mTable.Members()[owner].mName;
}

std::map<std::uint32_t, std::vector<DirectoryEntry>> FlowContext::HeldFlows(
  std::span<const std::uint32_t> aBuckets) const
{
  std::map<std::uint32_t, std::vector<DirectoryEntry>> held;
  for (const std::uint32_t bucket : aBuckets) {
    held[bucket];
  }
  if (mTable.Buckets() == 0) {
    return held;
  }
  mFlows.ForEach([&](const FlowEntry& aEntry) {
    const auto found = held.find(BucketOf(aEntry.mFlow, mTable.Buckets()));
    if (found != held.end()) {
      found->second.push_back({aEntry.mFlow, mSettings.mName});
    }
  });
  return held;
}

} // namespace dandelionslip
