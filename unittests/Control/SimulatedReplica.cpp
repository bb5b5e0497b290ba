// One control replica with a simulated disk, for runs in one process.
#include "Control/SimulatedReplica.h"

#include <boost/outcome/try.hpp>

#include <iterator>

namespace dandelionslip {

namespace {

constexpr std::uint64_t kSegmentBytes = 1500; // Small, so that runs use several segments.
constexpr std::size_t kPaddingBytes = 300;    // Several chunks of a snapshot.

// The state of the simulated state machine is the digest of the applied entries, with padding.
Bytes StateOf(std::uint64_t aDigest)
{
  return EncodeCbor(Json::array({aDigest, std::string(kPaddingBytes, 'x')}));
}

std::uint64_t DigestIn(const Snapshot& aSnapshot)
{
  const auto state = DecodeCbor(aSnapshot.mState, "state");
  return state ? state.value().at(0).get<std::uint64_t>() : 0;
}

} // namespace

SimulatedReplica::SimulatedReplica(ReplicaId aId, RaftSettings aSettings, std::uint64_t aSeed,
                                   HistoryChecker& aChecker)
  : mId(std::move(aId))
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mChecker(aChecker)
{
}

void SimulatedReplica::Bootstrap(const RaftMembership& aMembers)
{
  auto store = LogStore::Open(mFiles, {"data", kSegmentBytes, mId}, mRandom);
  store.value()->Bootstrap(aMembers).value();
}

bool SimulatedReplica::Start(TimePoint aNow)
{
  mStopReason.clear();
  auto store = LogStore::Open(mFiles, {"data", kSegmentBytes, mId}, mRandom);
  if (!store && store.error().mCode == ErrorCode::Io) {
    StopAfterFailedWrite();
    return false;
  }
  if (!store) {
    mStopReason = store.error().Message();
    return false;
  }
  mStore = std::move(store).value();
  RecoveredState state = mStore->TakeRecovered();
  const auto& snapshot = state.mSnapshot;
  mChecker.Started(mId, snapshot ? snapshot->mIndex : 0, snapshot ? DigestIn(*snapshot) : 0);
  mSnapshotIndex = snapshot ? snapshot->mIndex : 0;
  mCore = std::make_unique<RaftCore>(mSettings, std::move(state), Random(mRandom.Next()), aNow);
  return true;
}

void SimulatedReplica::End()
{
  mCore.reset();
  mStore.reset();
  mActions.clear();
  mProposals.AbandonAll();
  mPayloads.clear();
}

Status SimulatedReplica::TakeNewIdentity()
{
  BOOST_OUTCOME_TRY(LogStore::Discard(mFiles, "data"));
  mId = NewReplicaId(mRandom);
  mStopReason.clear();
  return Ok();
}

void SimulatedReplica::StopAfterFailedWrite()
{
  if (mAfterFailedWrite == AfterFailedWrite::KeepFiles) {
    End();
  } else {
    Crash();
  }
}

void SimulatedReplica::Crash()
{
  End();
  mFiles.Restart(mRandom.Below(2) == 0 ? CrashMode::DropAll : CrashMode::Random, mRandom);
}

void SimulatedReplica::Tick(TimePoint aNow)
{
  Run(aNow, mCore->Tick(aNow));
}

void SimulatedReplica::Receive(TimePoint aNow, const RaftMessage& aMessage)
{
  Run(aNow, mCore->Receive(aNow, aMessage));
}

void SimulatedReplica::ReceiveJoin(TimePoint aNow, const ReplicaId& aReplica)
{
  Run(aNow, mCore->ReceiveJoin(aNow, aReplica));
}

Result<EntryId> SimulatedReplica::Propose(TimePoint aNow, const Bytes& aPayload)
{
  RaftActions actions;
  auto proposed = mCore->Propose(aNow, aPayload, actions);
  if (!proposed) {
    mChecker.ReportedNotApplied(aPayload);
    return proposed;
  }
  mProposals.Track(proposed.value());
  mPayloads[proposed.value()] = aPayload;
  Run(aNow, std::move(actions));
  return proposed;
}

Result<EntryId> SimulatedReplica::Change(TimePoint aNow, const RaftMembershipChange& aChange)
{
  RaftActions actions;
  auto proposed = mCore->ProposeChange(aNow, aChange, actions);
  Run(aNow, std::move(actions));
  return proposed;
}

Status SimulatedReplica::Transfer(TimePoint aNow, const ReplicaId& aTarget,
                                  std::span<const ReplicaId> aAvoided)
{
  RaftActions actions;
  auto status = mCore->TransferLeadership(aNow, aTarget, actions, aAvoided);
  Run(aNow, std::move(actions));
  return status;
}

void SimulatedReplica::TakeSnapshot()
{
  if (mCore->AppliedIndex() == 0) {
    return;
  }
  auto snapshot =
    std::make_shared<const Snapshot>(mCore->MakeSnapshot(StateOf(mChecker.DigestOf(mId))));
  if (mStore->SaveSnapshot(*snapshot)) {
    mSnapshotIndex = snapshot->mIndex;
    mCore->Compact(std::move(snapshot));
  } else if (mStore->Failure()) {
    StopAfterFailedWrite();
  }
}

std::vector<RaftMessage> SimulatedReplica::TakeSent()
{
  return std::exchange(mSent, {});
}

// Actions caused by an action are carried out after those that were returned earlier.
void SimulatedReplica::Run(TimePoint aNow, RaftActions aActions)
{
  std::move(aActions.begin(), aActions.end(), std::back_inserter(mActions));
  while (Running() && !mActions.empty()) {
    RaftAction action = std::move(mActions.front());
    mActions.pop_front();
    if (!std::visit([&](auto& aAction) { return Execute(aNow, aAction); }, action)) {
      StopAfterFailedWrite();
    }
  }
}

Status SimulatedReplica::Execute(TimePoint aNow, PersistAction& aAction)
{
  if (aAction.mHardState) {
    BOOST_OUTCOME_TRY(mStore->SaveHardState(*aAction.mHardState));
  }
  if (aAction.mTruncateFrom) {
    BOOST_OUTCOME_TRY(mStore->TruncateFrom(*aAction.mTruncateFrom));
  }
  if (!aAction.mEntries.empty()) {
    BOOST_OUTCOME_TRY(mStore->Append(aAction.mEntries));
    Term previous = mCore->TermAt(aAction.mEntries.front().mIndex - 1).value_or(0);
    for (const LogEntry& entry : aAction.mEntries) {
      mChecker.Logged(mId, entry, std::exchange(previous, entry.mTerm));
    }
  }
  std::move(aAction.mMessagesAfterSync.begin(), aAction.mMessagesAfterSync.end(),
            std::back_inserter(mSent));
  if (!aAction.mEntries.empty()) {
    auto caused = mCore->OnPersisted(aNow, aAction.mEntries.back().Id());
    std::move(caused.begin(), caused.end(), std::back_inserter(mActions));
  }
  return Ok();
}

Status SimulatedReplica::Execute(TimePoint aNow, InstallSnapshotAction& aAction)
{
  BOOST_OUTCOME_TRY(mStore->InstallSnapshot(*aAction.mSnapshot, aAction.mKeepSuffix));
  mSnapshotIndex = aAction.mSnapshot->mIndex;
  mChecker.Installed(mId, aAction.mSnapshot->mIndex, DigestIn(*aAction.mSnapshot));
  ++mSnapshotsInstalled;
  Report(aNow, mProposals.OnSnapshotInstalled(aAction.mSnapshot->mIndex), nullptr);
  std::move(aAction.mMessagesAfterSync.begin(), aAction.mMessagesAfterSync.end(),
            std::back_inserter(mSent));
  return Ok();
}

Status SimulatedReplica::Execute(TimePoint aNow, ApplyAction& aAction)
{
  for (const LogEntry& entry : aAction.mEntries) {
    mChecker.Applied(mId, entry);
    Report(aNow, mProposals.OnApplied(entry), &entry);
  }
  return Ok();
}

Status SimulatedReplica::Execute(TimePoint /*aNow*/, SendAction& aAction)
{
  mSent.push_back(std::move(aAction.mMessage));
  return Ok();
}

Status SimulatedReplica::Execute(TimePoint /*aNow*/, RoleChangedAction& aAction)
{
  if (aAction.mRole == RaftRole::Leader) {
    mChecker.LeaderElected(aAction.mTerm, mId, [this](EntryId aId) {
      return aId.mIndex <= mCore->AppliedIndex() || mCore->TermAt(aId.mIndex) == aId.mTerm;
    });
  }
  return Ok();
}

Status SimulatedReplica::Execute(TimePoint /*aNow*/, PeerRefusedAction& /*aAction*/)
{
  ++mPeersRefused;
  return Ok();
}

Status SimulatedReplica::Execute(TimePoint /*aNow*/, StopAction& aAction)
{
  mStopReason = aAction.mReason;
  mCore.reset();
  mStore.reset();
  mActions.clear();
  return Ok();
}

void SimulatedReplica::Report(TimePoint aNow, const std::vector<ProposalResult>& aResults,
                              const LogEntry* aEntry)
{
  for (const ProposalResult& result : aResults) {
    if (result.mOutcome == ProposalOutcome::Applied) {
      mChecker.ReportedApplied(aNow, *aEntry);
    } else if (result.mOutcome == ProposalOutcome::NotApplied) {
      mChecker.ReportedNotApplied(mPayloads[result.mEntry]);
    }
    mPayloads.erase(result.mEntry);
  }
}

} // namespace dandelionslip
