// Applies state from answers and never goes back to a lower revision.
#include "dandelionslip/Model/NodeState.h"

#include "MapDifference.h"

namespace dandelionslip {

namespace {

template <typename State, typename Difference>
Result<void> CheckDifferenceStart(const State& aCurrent,
                                  const std::optional<Difference>& aDifference)
{
  if (!aDifference || aDifference->mToRevision <= aCurrent.mRevision) {
    return Ok();
  }
  return CheckDifference(aCurrent.mRevision, aDifference->mFromRevision, aDifference->mToRevision,
                         "node.apply");
}

template <typename State, typename Difference>
Result<void> ApplyIfNewer(State& aCurrent, const std::optional<State>& aWhole,
                          const std::optional<Difference>& aDifference)
{
  if (aWhole && aWhole->mRevision > aCurrent.mRevision) {
    aCurrent = *aWhole;
    return Ok();
  }
  if (aDifference && aDifference->mToRevision > aCurrent.mRevision) {
    return ApplyDifference(aCurrent, *aDifference);
  }
  return Ok();
}

bool CarriesState(const AnnouncementAnswer& aAnswer)
{
  return aAnswer.mConfiguration || aAnswer.mConfigurationDifference || aAnswer.mView ||
         aAnswer.mViewDifference;
}

} // namespace

Result<void> NodeState::Apply(const AnnouncementAnswer& aAnswer)
{
  if (!aAnswer.mConfirmed && CarriesState(aAnswer)) {
    return Fail(
      ErrorCode::InvalidInput, "node.apply", "",
      "found state in the unconfirmed answer of a replica without quorum contact, expected none");
  }
  if (auto check = CheckDifferenceStart(mConfiguration, aAnswer.mConfigurationDifference); !check) {
    return check;
  }
  if (auto check = CheckDifferenceStart(mView, aAnswer.mViewDifference); !check) {
    return check;
  }
  if (auto applied =
        ApplyIfNewer(mConfiguration, aAnswer.mConfiguration, aAnswer.mConfigurationDifference);
      !applied) {
    return applied;
  }
  return ApplyIfNewer(mView, aAnswer.mView, aAnswer.mViewDifference);
}

} // namespace dandelionslip
