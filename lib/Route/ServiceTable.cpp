// Builds a service's table from a view and a configuration.
#include "dandelionslip/Route/ServiceTable.h"

#include <algorithm>
#include <bit>

namespace dandelionslip {

namespace {

// Longest chain of backups that is followed; bounds the loop when members name each other.
constexpr std::size_t kMaxBackupChain = 8;

std::uint32_t WeightOf(const Generation& aGeneration, const std::string& aMember)
{
  for (const WeightedMember& member : aGeneration.mMembers) {
    if (member.mMember == aMember) {
      return member.mWeight;
    }
  }
  return 0;
}

std::vector<WeightedMember> EffectiveWeights(const Generation& aGeneration,
                                             const std::vector<TableMember>& aMembers)
{
  std::vector<WeightedMember> weights;
  weights.reserve(aMembers.size());
  for (const TableMember& member : aMembers) {
    weights.push_back({member.mName, member.mExcluded ? 0 : WeightOf(aGeneration, member.mName)});
  }
  return weights;
}

} // namespace

const ServiceView* FindServiceView(const View& aView, const Configuration& aConfiguration,
                                   const std::string& aServiceName)
{
  const ServiceEntry* entry = aConfiguration.FindService(aServiceName);
  const auto found = aView.mServices.find(aServiceName);
  if (entry == nullptr || found == aView.mServices.end() ||
      found->second.mServiceId != entry->mId || found->second.mGenerations.empty()) {
    return nullptr;
  }
  return &found->second;
}

std::vector<std::string> OwnerNamesByBucket(const Generation& aGeneration,
                                            const ServiceTable& aTable)
{
  const auto owners = MakeRendezvousStrategy()->Owners(
    EffectiveWeights(aGeneration, aTable.Members()), aTable.Buckets());
  std::vector<std::string> names;
  names.reserve(owners.size());
  for (const MemberIndex owner : owners) {
    names.push_back(owner == kNoMember ? std::string() : aTable.Members()[owner].mName);
  }
  return names;
}

ServiceTable::ServiceTable(const View& aView, const Configuration& aConfiguration,
                           const std::string& aServiceName)
{
  const ServiceEntry* entry = aConfiguration.FindService(aServiceName);
  if (entry == nullptr) {
    return;
  }
  mId = entry->mId;
  AddMembers(aServiceName, aView, aConfiguration);
  ResolveActingMembers();
  dandelionslip::Generation newest;
  if (const ServiceView* service = FindServiceView(aView, aConfiguration, aServiceName)) {
    newest = service->mGenerations.front();
  }
  mGeneration = newest.mNumber;
  std::vector<bool> eligible;
  bool anyInService = false;
  bool anyOutOfService = false;
  for (const TableMember& member : mMembers) {
    eligible.push_back(TakesNewWork(member.mState));
    const bool weighted = WeightOf(newest, member.mName) > 0;
    anyInService = anyInService || (weighted && !member.mDataCentreOut);
    anyOutOfService = anyOutOfService || (weighted && member.mDataCentreOut);
  }
  mAllDataCentresOut = anyOutOfService && !anyInService;
  mAssignment = AssignmentTable(EffectiveWeights(newest, mMembers),
                                std::bit_floor(std::max(1U, entry->mSpec.mBuckets)), eligible);
}

void ServiceTable::AddMembers(const std::string& aServiceName, const View& aView,
                              const Configuration& aConfiguration)
{
  for (const auto& [name, member] : aView.mMembers) {
    if (member.mKind != MemberKind::Agent || member.mService != aServiceName) {
      continue;
    }
    const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
    TableMember added;
    added.mName = name;
    added.mDataCentre = member.mDataCentre;
    added.mBackup = member.mState == MemberState::Restarting ? member.mBackup : "";
    added.mRequestEndpoint = member.mRequestEndpoint;
    added.mDatagramEndpoint = endpoint ? endpoint.value() : Endpoint{};
    added.mState = member.mState;
    added.mDataCentreOut = aConfiguration.IsDataCentreOut(member.mDataCentre);
    added.mExcluded = added.mDataCentreOut || !HoldsFlows(member.mState) || !endpoint;
    mMembers.push_back(std::move(added));
  }
}

void ServiceTable::ResolveActingMembers()
{
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    auto acting = static_cast<MemberIndex>(i);
    for (std::size_t step = 0; step < kMaxBackupChain; ++step) {
      const MemberIndex backup =
        mMembers[acting].mBackup.empty() ? kNoMember : Find(mMembers[acting].mBackup);
      if (backup == kNoMember || mMembers[backup].mExcluded) {
        break;
      }
      acting = backup;
    }
    mActingMembers.push_back(acting);
  }
}

MemberIndex ServiceTable::Find(std::string_view aName) const
{
  const auto found = std::lower_bound(
    mMembers.begin(), mMembers.end(), aName,
    [](const TableMember& aMember, std::string_view aWanted) { return aMember.mName < aWanted; });
  if (found == mMembers.end() || found->mName != aName) {
    return kNoMember;
  }
  return static_cast<MemberIndex>(found - mMembers.begin());
}

MemberIndex ServiceTable::ActingFor(MemberIndex aMember) const
{
  return aMember == kNoMember ? kNoMember : mActingMembers[aMember];
}

} // namespace dandelionslip
