// A command that an adapter has submitted, until it is decided.
#include "dandelionslip/Control/SubmittedCommand.h"

namespace dandelionslip {

namespace {

std::uint64_t VersionOf(const Configuration& aState, const std::string& aDataCentre)
{
  const auto found = aState.mDataCentres.find(aDataCentre);
  return found == aState.mDataCentres.end() ? 0 : found->second.mVersion;
}

} // namespace

SubmittedCommand::SubmittedCommand(Command aCommand, const Configuration& aState,
                                   const DataCentreChanges& aChanges, const CommandTimes& aTimes)
  : mDeadline(aTimes.mReadAt + kTimeout)
{
  if (auto& change = aCommand.mDataCentre; change && !change->mExpectedVersion) {
    change->mExpectedVersion = VersionOf(aState, change->mName);
    const bool overtaken = aChanges.ChangedSince(change->mName, aTimes.mConnectedAt);
    mDeadline = overtaken ? TimePoint::min() : aTimes.mSentAt + kTimeout;
    mMayBeOvertaken = true;
  }
  mEncoded = ToCbor(aCommand);
}

bool SubmittedCommand::Undecided(const CommandAnswer& aAnswer)
{
  return aAnswer.mOutcome == CommandOutcome::NotApplied ||
         aAnswer.mOutcome == CommandOutcome::OutcomeUnknown;
}

} // namespace dandelionslip
