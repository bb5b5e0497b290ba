// Eligible members, forced removals and limited weight steps.
#include "GenerationPlan.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::uint64_t kPermille = 1000;

std::uint32_t AnnouncedWeight(const LeaseEntry& aEntry)
{
  return std::max(aEntry.mAnnouncement.mWeight, kMinWeight);
}

bool IsWithinDeadBand(std::uint32_t aCurrent, std::uint32_t aTarget)
{
  const std::uint64_t distance = aCurrent > aTarget ? aCurrent - aTarget : aTarget - aCurrent;
  return distance * kPermille < std::uint64_t{aCurrent} * kDeadBandPermille;
}

// Moves a weight towards its target by at most a factor of 1.25.
std::uint32_t BoundedStep(std::uint32_t aCurrent, std::uint32_t aTarget)
{
  const std::uint64_t current = std::max(aCurrent, kMinWeight);
  const std::uint64_t low = (current * 4 + 4) / 5;
  const std::uint64_t high = current * 5 / 4;
  return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(aTarget, low, high));
}

bool NameLess(const WeightedMember& aLeft, const WeightedMember& aRight)
{
  return aLeft.mMember < aRight.mMember;
}

} // namespace

std::map<std::string, AgentsOfService> AgentsByService(const LeaseTable& aLeases)
{
  std::map<std::string, AgentsOfService> agents;
  for (const auto& [name, entry] : aLeases.Entries()) {
    if (entry.mAnnouncement.mMember.mKind == MemberKind::Agent) {
      agents[entry.mAnnouncement.mMember.mService].push_back(&entry);
    }
  }
  return agents;
}

GenerationPlan::GenerationPlan(const std::string& aService, const Configuration& aConfiguration,
                               const LeaseTable& aLeases, const AgentsOfService& aAgents)
  : mService(aService)
  , mConfiguration(aConfiguration)
  , mLeases(aLeases)
  , mAgents(aAgents)
{
}

bool GenerationPlan::IsEligible(const LeaseEntry* aEntry) const
{
  if (aEntry == nullptr) {
    return false;
  }
  const Member& member = aEntry->mAnnouncement.mMember;
  return member.mKind == MemberKind::Agent && member.mService == mService &&
         (TakesNewWork(member.mState) || member.mState == MemberState::Restarting) &&
         !mConfiguration.IsDataCentreOut(member.mDataCentre) &&
         !mConfiguration.IsDrained(member.mName);
}

bool GenerationPlan::HasNoLiveOwner(const std::string& aName) const
{
  const LeaseEntry* entry = mLeases.Find(aName);
  return entry == nullptr || !HoldsFlows(entry->mAnnouncement.mMember.mState) ||
         mConfiguration.IsDataCentreOut(entry->mAnnouncement.mMember.mDataCentre);
}

// Eligible members that have announced themselves and take new work, with their announced weights.
// They get these weights at once if no other member serves: weights are relative, so low ones would
// change nothing.
std::vector<WeightedMember> GenerationPlan::MembersTakingNewWork() const
{
  std::vector<WeightedMember> members;
  for (const LeaseEntry* entry : mAgents) {
    if (IsEligible(entry) && entry->mHasAnnounced &&
        TakesNewWork(entry->mAnnouncement.mMember.mState)) {
      members.push_back({entry->mAnnouncement.mMember.mName, AnnouncedWeight(*entry)});
    }
  }
  return members;
}

std::uint32_t GenerationPlan::SteppedWeight(const WeightedMember& aMember) const
{
  const LeaseEntry& entry = *mLeases.Find(aMember.mMember);
  const MemberState state = entry.mAnnouncement.mMember.mState;
  if (!entry.mHasAnnounced || !TakesNewWork(state)) {
    return aMember.mWeight;
  }
  const std::uint32_t target = AnnouncedWeight(entry);
  // A cold member must not get more than its ramp allows, so its weight falls at once.
  if (state == MemberState::Cold && target < aMember.mWeight) {
    return target;
  }
  return IsWithinDeadBand(aMember.mWeight, target) ? aMember.mWeight
                                                   : BoundedStep(aMember.mWeight, target);
}

void GenerationPlan::AddJoining(std::vector<WeightedMember>& aMembers) const
{
  std::vector<WeightedMember> joining;
  for (const WeightedMember& candidate : MembersTakingNewWork()) {
    if (!std::binary_search(aMembers.begin(), aMembers.end(), candidate, NameLess)) {
      joining.push_back({candidate.mMember, std::min(candidate.mWeight, kJoinWeight)});
    }
  }
  aMembers.insert(aMembers.end(), joining.begin(), joining.end());
  std::sort(aMembers.begin(), aMembers.end(), NameLess);
}

std::optional<GenerationPlan::Step> GenerationPlan::PlannedChange(const ServiceView& aService,
                                                                  bool aStepDue) const
{
  const std::vector<WeightedMember> none;
  const std::vector<WeightedMember>& before =
    aService.mGenerations.empty() ? none : aService.mGenerations.front().mMembers;
  Step step;
  for (const WeightedMember& member : before) {
    if (IsEligible(mLeases.Find(member.mMember))) {
      step.mMembers.push_back(member);
    }
  }
  if (step.mMembers.empty()) {
    step.mMembers = MembersTakingNewWork();
    step.mIsWeightStep = true;
    return step.mMembers.empty() ? std::nullopt : std::optional(std::move(step));
  }
  if (aStepDue) {
    const std::vector<WeightedMember> kept = step.mMembers;
    for (WeightedMember& member : step.mMembers) {
      member.mWeight = SteppedWeight(member);
    }
    AddJoining(step.mMembers);
    step.mIsWeightStep = step.mMembers != kept;
  }
  return step.mMembers == before ? std::nullopt : std::optional(std::move(step));
}

std::optional<std::vector<WeightedMember>> GenerationPlan::ForcedRemoval(
  const ServiceView& aService) const
{
  std::vector<WeightedMember> members = aService.mGenerations.front().mMembers;
  const auto removed = std::erase_if(
    members, [&](const WeightedMember& aMember) { return HasNoLiveOwner(aMember.mMember); });
  if (removed == 0) {
    return std::nullopt;
  }
  if (members.empty()) {
    members = MembersTakingNewWork();
  }
  return members.empty() ? std::nullopt : std::optional(std::move(members));
}

} // namespace dandelionslip
