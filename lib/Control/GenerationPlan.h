// The members and weights of a service's next generation.
#pragma once

#include "dandelionslip/Control/LeaseTable.h"
#include "dandelionslip/Control/ViewBuilder.h"

#include <optional>
#include <vector>

namespace dandelionslip {

/// The lease entries of all agents by service, in any state.
std::map<std::string, AgentsOfService> AgentsByService(const LeaseTable& aLeases);

/// Plans the next generation of one service, regardless of acknowledgements.
class GenerationPlan
{
public:
  struct Step
  {
    std::vector<WeightedMember> mMembers;
    bool mIsWeightStep = false; ///< Weights were changed or members joined.
  };

  GenerationPlan(const std::string& aService, const Configuration& aConfiguration,
                 const LeaseTable& aLeases, const AgentsOfService& aAgents);

  /// The next generation with all changes that are due; joins and weight steps only with aStepDue.
  /// If no member of the newest generation is eligible, the eligible members that take new work
  /// replace them at once. Empty if nothing changes or no member is eligible: the owners then keep
  /// their buckets and flows.
  std::optional<Step> PlannedChange(const ServiceView& aService, bool aStepDue) const;

  /// The next generation with only those members removed whose buckets have no live owner, or with
  /// all eligible members that take new work if none is left. Empty if nobody is removed or the
  /// result would have no members.
  std::optional<std::vector<WeightedMember>> ForcedRemoval(const ServiceView& aService) const;

private:
  bool IsEligible(const LeaseEntry* aEntry) const;
  bool HasNoLiveOwner(const std::string& aName) const;
  std::vector<WeightedMember> MembersTakingNewWork() const;
  std::uint32_t SteppedWeight(const WeightedMember& aMember) const;
  void AddJoining(std::vector<WeightedMember>& aMembers) const;

  const std::string& mService;
  const Configuration& mConfiguration;
  const LeaseTable& mLeases;
  const AgentsOfService& mAgents;
};

} // namespace dandelionslip
