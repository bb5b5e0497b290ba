// Decides what a control replica that was told to stop does before it ends.
#include "dandelionslip/Control/ReplicaDeparture.h"

namespace dandelionslip {

ReplicaDeparture::ReplicaDeparture(const ReplicaDepartureSettings& aSettings, TimePoint aNow)
  : mSettings(aSettings)
  , mStartedAt(aNow)
{
}

DepartureStep ReplicaDeparture::Next(const DepartureView& aView, TimePoint aNow)
{
  const bool successorExpected = mSuccessorExpected || aView.mOtherLearner;
  const Milliseconds limit =
    successorExpected ? mSettings.mLimit : std::min(mSettings.mLimit, mSettings.mNoticeLimit);
  if (mMayEnd || aNow - mStartedAt >= limit) {
    return DepartureStep::End;
  }
  if (aView.mLeads) {
    if (!successorExpected) {
      return DepartureStep::End;
    }
    if (mTransferredAt && aNow - *mTransferredAt < mSettings.mTransferPause) {
      return DepartureStep::Wait;
    }
    mTransferredAt = aNow;
    return DepartureStep::TransferLeadership;
  }
  if (!aView.mLeaderKnown) {
    return successorExpected ? DepartureStep::Wait : DepartureStep::End;
  }
  if (mAskedAt && aNow - *mAskedAt < mSettings.mAskInterval) {
    return DepartureStep::Wait;
  }
  mAskedAt = aNow;
  return DepartureStep::AskLeader;
}

void ReplicaDeparture::OnAnswer(LeaveState aState)
{
  mMayEnd |= aState == LeaveState::Released || aState == LeaveState::NoSuccessor;
  mSuccessorExpected |= aState == LeaveState::Wait;
}

void ReplicaDeparture::OnUnsupported()
{
  mMayEnd = true;
}

} // namespace dandelionslip
