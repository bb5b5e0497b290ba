// The endpoints that a control replica asks to join its Raft group.
#include "dandelionslip/Control/JoinEndpoints.h"

#include <utility>

namespace dandelionslip {

JoinEndpoints::JoinEndpoints(std::string aSelf, std::vector<std::string> aSeeds)
  : mSelf(std::move(aSelf))
  , mSeeds(std::move(aSeeds))
{
}

bool JoinEndpoints::SeedsAreDue(bool aLeaderKnown, TimePoint aNow)
{
  if (aLeaderKnown || (mSeedsCheckedAt && aNow - *mSeedsCheckedAt < kSeedCheckInterval)) {
    return false;
  }
  mSeedsCheckedAt = aNow;
  return true;
}

bool JoinEndpoints::SetSeeds(std::vector<std::string> aSeeds)
{
  if (aSeeds.empty() || aSeeds == mSeeds) {
    return false;
  }
  mSeeds = std::move(aSeeds);
  return true;
}

void JoinEndpoints::OnMembers(const RaftMembership& aMembers)
{
  if (aMembers.mReplicas.empty()) {
    return;
  }
  mMembers.clear();
  for (const auto& [id, info] : aMembers.mReplicas) {
    mMembers.insert(info.mAddress);
  }
}

std::set<std::string> JoinEndpoints::Targets(const std::string& aLeader) const
{
  std::set<std::string> targets;
  if (!aLeader.empty()) {
    targets.insert(aLeader);
  } else {
    targets.insert(mSeeds.begin(), mSeeds.end());
    targets.insert(mMembers.begin(), mMembers.end());
  }
  targets.erase(mSelf);
  return targets;
}

std::set<std::string> JoinEndpoints::Observers(const std::string& aLeader) const
{
  std::set<std::string> observers;
  if (!aLeader.empty()) {
    observers = mMembers;
    observers.erase(aLeader);
    observers.erase(mSelf);
  }
  return observers;
}

} // namespace dandelionslip
