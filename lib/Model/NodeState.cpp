// Takes over state from answers without ever going back.
#include "dandelionslip/Model/NodeState.h"

#include "DifferenceParts.h"

namespace dandelionslip {

namespace {

template <typename State, typename Difference>
Result<void> CheckStart(const State& aHeld, const std::optional<Difference>& aDifference)
{
  if (!aDifference || aDifference->mTo <= aHeld.mRevision) {
    return Ok();
  }
  return CheckDifference(aHeld.mRevision, aDifference->mFrom, aDifference->mTo, "node.take");
}

template <typename State, typename Difference>
Result<void> TakeNewer(State& aHeld, const std::optional<State>& aWhole,
                       const std::optional<Difference>& aDifference)
{
  if (aWhole && aWhole->mRevision > aHeld.mRevision) {
    aHeld = *aWhole;
    return Ok();
  }
  if (aDifference && aDifference->mTo > aHeld.mRevision) {
    return ApplyDifference(aHeld, *aDifference);
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
    return Fail(ErrorCode::InvalidInput, "node.take", "",
                "found state in an unconfirmed answer, expected none");
  }
  if (auto check = CheckStart(mConfiguration, aAnswer.mConfigurationDifference); !check) {
    return check;
  }
  if (auto check = CheckStart(mView, aAnswer.mViewDifference); !check) {
    return check;
  }
  if (auto taken =
        TakeNewer(mConfiguration, aAnswer.mConfiguration, aAnswer.mConfigurationDifference);
      !taken) {
    return taken;
  }
  return TakeNewer(mView, aAnswer.mView, aAnswer.mViewDifference);
}

} // namespace dandelionslip
