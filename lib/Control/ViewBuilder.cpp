// Members, generations and weights of the next view.
#include "dandelionslip/Control/ViewBuilder.h"

#include "GenerationPlan.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// A view revision holds the term of the leader that issued it in its upper 32 bits and counts the
// views of that term from 1 in the lower 32.
constexpr unsigned kTermShift = 32;

// Whether a new generation can be added without dropping the last one that all live members have
// acknowledged. Without that one, agents could no longer find out where a flow is.
bool HistoryHasRoom(const ServiceView& aService, const Configuration& aConfiguration,
                    const LeaseTable& aLeases)
{
  if (aService.mGenerations.size() < kMaxGenerations) {
    return true;
  }
  const Generation& lastKept = aService.mGenerations[kMaxGenerations - 2];
  return ViewBuilder::Unacknowledged(lastKept, aConfiguration, aLeases).empty();
}

std::uint32_t NewestNumber(const ServiceView& aService)
{
  return aService.mGenerations.empty() ? 0 : aService.mGenerations.front().mNumber;
}

std::uint32_t HighestAcked(const AgentsOfService& aAgents)
{
  std::uint32_t highest = 0;
  for (const LeaseEntry* entry : aAgents) {
    highest = std::max(highest, entry->mAnnouncement.mAckedGeneration);
  }
  return highest;
}

} // namespace

ViewBuilder::ViewBuilder(const MembershipSettings& aSettings)
  : mSettings(aSettings)
{
}

void ViewBuilder::StartTerm(std::uint64_t aTerm, const View& aNewest)
{
  mTerm = aTerm;
  mIssuedInTerm = false;
  mView = aNewest;
  mStepTimings.clear();
}

std::vector<std::string> ViewBuilder::Unacknowledged(const Generation& aGeneration,
                                                     const Configuration& aConfiguration,
                                                     const LeaseTable& aLeases)
{
  std::vector<std::string> names;
  for (const WeightedMember& member : aGeneration.mMembers) {
    const LeaseEntry* entry = aLeases.Find(member.mMember);
    if (entry == nullptr || !HoldsFlows(entry->mAnnouncement.mMember.mState) ||
        aConfiguration.IsDataCentreOut(entry->mAnnouncement.mMember.mDataCentre)) {
      continue;
    }
    if (entry->mAnnouncement.mAckedGeneration < aGeneration.mNumber) {
      names.push_back(member.mMember);
    }
  }
  return names;
}

std::map<std::string, Member> ViewBuilder::BuildMembers(const Configuration& aConfiguration,
                                                        const LeaseTable& aLeases)
{
  std::map<std::string, Member> members;
  for (const auto& [name, entry] : aLeases.Entries()) {
    Member& member = members.emplace_hint(members.end(), name, entry.mAnnouncement.mMember)->second;
    if (TakesNewWork(member.mState) && aConfiguration.IsDrained(name)) {
      member.mState = MemberState::Draining;
    }
  }
  return members;
}

std::uint32_t ViewBuilder::NextNumber(const ServiceView& aService,
                                      std::uint32_t aHighestAcked) const
{
  std::uint32_t last = NewestNumber(aService);
  if (aHighestAcked > last) {
    last = aHighestAcked + kForgottenGenerationGap;
  }
  const auto remainder = static_cast<std::uint32_t>(mTerm % kGenerationStride);
  const std::uint32_t next = last - last % kGenerationStride + remainder;
  return next > last ? next : next + kGenerationStride;
}

void ViewBuilder::AddGeneration(ServiceView& aService, std::vector<WeightedMember> aMembers,
                                std::uint32_t aHighestAcked) const
{
  const std::uint32_t number = NextNumber(aService, aHighestAcked);
  aService.mGenerations.insert(aService.mGenerations.begin(),
                               Generation{number, std::move(aMembers)});
  if (aService.mGenerations.size() > kMaxGenerations) {
    aService.mGenerations.resize(kMaxGenerations);
  }
}

ServiceView ViewBuilder::BuildService(const std::string& aName, const ServiceEntry& aEntry,
                                      const Configuration& aConfiguration,
                                      const AgentsOfService& aAgents, const LeaseTable& aLeases,
                                      TimePoint aNow)
{
  ServiceView service{aEntry.mId, {}};
  if (const auto found = mView.mServices.find(aName);
      found != mView.mServices.end() && found->second.mServiceId == aEntry.mId) {
    service = found->second;
  }
  StepTiming& timing = mStepTimings[aName];
  if (timing.mServiceId != aEntry.mId) {
    // The previous leader may have stepped the weights just before this term.
    timing = StepTiming{aEntry.mId, aNow, !service.mGenerations.empty()};
  }
  const bool stepDue = !timing.mHasLastStep || aNow - timing.mLastStep >= mSettings.mStepInterval;
  const GenerationPlan plan(aName, aConfiguration, aLeases, aAgents);
  const std::uint32_t acked = HighestAcked(aAgents);
  if (!service.mGenerations.empty() && acked > NewestNumber(service)) {
    // Agents know a newer generation than this replica: issues the same members under a higher
    // number.
    AddGeneration(service, std::vector(service.mGenerations.front().mMembers), acked);
    return service;
  }
  const bool acknowledged =
    service.mGenerations.empty() ||
    Unacknowledged(service.mGenerations.front(), aConfiguration, aLeases).empty();
  if (acknowledged) {
    if (auto next = plan.PlannedChange(service, stepDue)) {
      if (next->mIsWeightStep) {
        timing.mLastStep = aNow;
        timing.mHasLastStep = true;
      }
      AddGeneration(service, std::move(next->mMembers), acked);
    }
    return service;
  }
  if (auto next = plan.ForcedRemoval(service);
      next && HistoryHasRoom(service, aConfiguration, aLeases)) {
    AddGeneration(service, std::move(*next), acked);
  }
  return service;
}

bool ViewBuilder::Update(const Configuration& aConfiguration, const LeaseTable& aLeases,
                         TimePoint aNow)
{
  View next;
  next.mMembers = BuildMembers(aConfiguration, aLeases);
  const auto agents = AgentsByService(aLeases);
  static const AgentsOfService kNone;
  for (const auto& [name, entry] : aConfiguration.mServices) {
    const auto found = agents.find(name);
    next.mServices.emplace(name, BuildService(name, entry, aConfiguration,
                                              found == agents.end() ? kNone : found->second,
                                              aLeases, aNow));
  }
  std::erase_if(mStepTimings, [&](const auto& aItem) {
    return aConfiguration.FindService(aItem.first) == nullptr;
  });
  next.mRevision = mView.mRevision;
  if (mIssuedInTerm && next == mView) {
    return false;
  }
  next.mRevision = mIssuedInTerm ? mView.mRevision + 1 : (mTerm << kTermShift) + 1;
  mIssuedInTerm = true;
  mView = std::move(next);
  return true;
}

} // namespace dandelionslip
