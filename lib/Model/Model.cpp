// Lookups and enum names of the model types.
#include "dandelionslip/Model/Announcement.h"
#include "dandelionslip/Model/Command.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<MemberKind>> EnumNames(MemberKind)
{
  static constexpr std::array<EnumName<MemberKind>, 2> kNames{{
    {MemberKind::Balancer, "balancer"},
    {MemberKind::Agent, "agent"},
  }};
  return kNames;
}

std::span<const EnumName<MemberState>> EnumNames(MemberState)
{
  static constexpr std::array<EnumName<MemberState>, 6> kNames{{
    {MemberState::Cold, "cold"},
    {MemberState::Serving, "serving"},
    {MemberState::Draining, "draining"},
    {MemberState::Restarting, "restarting"},
    {MemberState::Left, "left"},
    {MemberState::Lost, "lost"},
  }};
  return kNames;
}

std::span<const EnumName<CommandOutcome>> EnumNames(CommandOutcome)
{
  static constexpr std::array<EnumName<CommandOutcome>, 6> kNames{{
    {CommandOutcome::Applied, "applied"},
    {CommandOutcome::Refused, "refused"},
    {CommandOutcome::Conflict, "conflict"},
    {CommandOutcome::NotApplied, "not_applied"},
    {CommandOutcome::OutcomeUnknown, "outcome_unknown"},
    {CommandOutcome::Expired, "expired"},
  }};
  return kNames;
}

bool TakesNewWork(MemberState aState)
{
  return aState == MemberState::Cold || aState == MemberState::Serving;
}

bool HoldsFlows(MemberState aState)
{
  return aState != MemberState::Left && aState != MemberState::Lost;
}

const ServiceEntry* Configuration::FindService(const std::string& aName) const
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : &found->second;
}

bool Configuration::IsDataCentreOut(const std::string& aDataCentre) const
{
  const auto found = mDataCentres.find(aDataCentre);
  return found != mDataCentres.end() && found->second.mOutOfService;
}

bool Configuration::IsDrained(const std::string& aUpstream) const
{
  const auto found = mDrained.find(aUpstream);
  return found != mDrained.end() && found->second;
}

const Member* View::FindMember(const std::string& aName) const
{
  const auto found = mMembers.find(aName);
  return found == mMembers.end() ? nullptr : &found->second;
}

} // namespace dandelionslip
