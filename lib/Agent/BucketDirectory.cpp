// Entries and states of a bucket directory.
#include "dandelionslip/Agent/BucketDirectory.h"

#include "dandelionslip/Route/FlowHash.h"

#include <algorithm>

namespace dandelionslip {

BucketDirectory::BucketDirectory(std::uint32_t aBucketCount)
  : mBuckets(aBucketCount)
{
}

Bucket& BucketDirectory::Of(FlowId aFlow)
{
  return mBuckets[BucketOf(aFlow, Buckets())];
}

const Bucket& BucketDirectory::Of(FlowId aFlow) const
{
  return mBuckets[BucketOf(aFlow, Buckets())];
}

const std::string* BucketDirectory::Holder(FlowId aFlow) const
{
  const Bucket& bucket = Of(aFlow);
  const auto found = bucket.mHolders.find(aFlow);
  return found == bucket.mHolders.end() ? nullptr : &found->second.mName;
}

const std::string* BucketDirectory::HolderAtTransfer(FlowId aFlow) const
{
  const Bucket& bucket = Of(aFlow);
  const auto found = bucket.mHoldersAtTransfer.find(aFlow);
  return found == bucket.mHoldersAtTransfer.end() ? nullptr : &found->second.mName;
}

void BucketDirectory::PrepareOwnership(std::uint32_t aBucket, TimePoint aNow)
{
  mBuckets[aBucket].mHoldersAtTransfer.clear();
  std::erase_if(mBuckets[aBucket].mHolders, [&](const auto& aEntry) {
    return aNow - aEntry.second.mConfirmedAt > kMaxEarlyReportAge;
  });
}

void BucketDirectory::Record(FlowId aFlow, const std::string& aHolder, TimePoint aNow)
{
  Of(aFlow).mHolders[aFlow] = {aHolder, aNow};
}

void BucketDirectory::RemoveHolder(FlowId aFlow, const std::string& aHolder, TimePoint aNow)
{
  auto& holders = Of(aFlow).mHolders;
  if (const auto found = holders.find(aFlow);
      found != holders.end() && found->second.mName == aHolder &&
      aNow - found->second.mConfirmedAt >= kHolderGracePeriod) {
    holders.erase(found);
  }
}

void BucketDirectory::Erase(FlowId aFlow)
{
  Of(aFlow).mHolders.erase(aFlow);
}

void BucketDirectory::Merge(const std::vector<DirectoryEntry>& aFlows, TimePoint aNow)
{
  for (const DirectoryEntry& entry : aFlows) {
    Record(entry.mFlow, entry.mHolder, aNow);
  }
}

void BucketDirectory::Expire(TimePoint aNow, Milliseconds aTimeout, std::uint32_t aMaxBuckets)
{
  for (std::uint32_t i = 0; i < std::min(aMaxBuckets, Buckets()); ++i) {
    mLastExamined = (mLastExamined + 1) % Buckets();
    const auto isOld = [&](const auto& aEntry) {
      return aNow - aEntry.second.mConfirmedAt > aTimeout;
    };
    std::erase_if(mBuckets[mLastExamined].mHolders, isOld);
    std::erase_if(mBuckets[mLastExamined].mHoldersAtTransfer, isOld);
  }
}

std::vector<DirectoryEntry> BucketDirectory::Entries(std::uint32_t aBucket) const
{
  std::vector<DirectoryEntry> entries;
  for (const auto& [flow, holder] : mBuckets[aBucket].mHolders) {
    entries.push_back({flow, holder.mName});
  }
  std::sort(entries.begin(), entries.end(),
            [](const DirectoryEntry& aLeft, const DirectoryEntry& aRight) {
              return aLeft.mFlow < aRight.mFlow;
            });
  return entries;
}

} // namespace dandelionslip
