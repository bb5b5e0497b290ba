// Builds the next view from the configuration and the leases.
#pragma once

#include "dandelionslip/Control/LeaseTable.h"
#include "dandelionslip/Model/View.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// Lowest weight of a member in a generation: 1% of kFullWeight, so that a step by a factor of 1.25
/// still changes it by whole units.
inline constexpr std::uint32_t kMinWeight = kFullWeight / 100;

/// Weight of a member that joins a service with other members: 5% of kFullWeight, the same share as
/// the default cold limit of connections.
inline constexpr std::uint32_t kJoinWeight = kFullWeight / 20;

/// A weight stays unchanged while its target differs from it by less than this share of the weight
/// (3%), so that noise in the estimate moves no buckets. Together with the rounding to whole
/// buckets (0.7% with 1,024 buckets and 7 members) this stays within the steady imbalance target of
/// 1.05.
inline constexpr std::uint32_t kDeadBandPermille = 30;

/// A leader uses only generation numbers that equal its term modulo this stride. Two leaders that
/// do not know each other's generations therefore never give the same number to two assignments,
/// unless 16 leaders in a row fail before another replica has a view of theirs. A 32-bit number
/// lasts for 268 million generations of a service, eight years at one a second.
inline constexpr std::uint32_t kGenerationStride = 16;

/// Numbers skipped after an acknowledged generation that no control replica knows any more: agents
/// may hold up to kMaxGenerations (3) newer ones. One stride for each of them, and one more.
inline constexpr std::uint32_t kForgottenGenerationGap = 4 * kGenerationStride;

/// The lease entries of one service's agents, ordered by name.
using AgentsOfService = std::vector<const LeaseEntry*>;

/// Builds the views that a leader issues; used for one leader term after another. Not thread-safe.
///
/// A planned change (join, drain, leave, weight step) waits until every live member of the newest
/// generation has acknowledged it. A change forced by a loss or by a data centre that is out does
/// not wait, because the buckets of that member have no live owner; it only removes members, unless
/// none is left: then it takes all eligible members that take new work. It is delayed only if the
/// last generation that all live members have acknowledged would drop out of the kMaxGenerations
/// that a view holds: agents could then no longer find out where a flow is.
class ViewBuilder
{
public:
  explicit ViewBuilder(const MembershipSettings& aSettings);

  /// Begins a leader term from the newest view known. The next Update issues a new revision even if
  /// nothing changed, because it has to replace views of earlier terms.
  void StartTerm(std::uint64_t aTerm, const View& aNewest);

  /// Brings the view up to date; returns whether a new revision was issued.
  bool Update(const Configuration& aConfiguration, const LeaseTable& aLeases, TimePoint aNow);

  const View& Current() const { return mView; }

  /// Live members of a generation that have not acknowledged it. Members of a data centre that is
  /// out do not count: their flows are given up.
  static std::vector<std::string> Unacknowledged(const Generation& aGeneration,
                                                 const Configuration& aConfiguration,
                                                 const LeaseTable& aLeases);

private:
  struct StepTiming
  {
    ServiceId mServiceId = 0;
    TimePoint mLastStep;
    /// mLastStep is valid: a step of this term, or the start of the term.
    bool mHasLastStep = false;
  };

  static std::map<std::string, Member> BuildMembers(const Configuration& aConfiguration,
                                                    const LeaseTable& aLeases);
  ServiceView BuildService(const std::string& aName, const ServiceEntry& aEntry,
                           const Configuration& aConfiguration, const AgentsOfService& aAgents,
                           const LeaseTable& aLeases, TimePoint aNow);
  std::uint32_t NextNumber(const ServiceView& aService, std::uint32_t aHighestAcked) const;
  void AddGeneration(ServiceView& aService, std::vector<WeightedMember> aMembers,
                     std::uint32_t aHighestAcked) const;

  MembershipSettings mSettings;
  std::uint64_t mTerm = 0;
  bool mIssuedInTerm = false;
  View mView;
  std::map<std::string, StepTiming> mStepTimings;
};

} // namespace dandelionslip
