// Control replicas with everything that acts on them in a deployment: restarts, repair, an
// operator.
#include "Control/SupervisedCluster.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// As in ControlDaemon and in the settings of the platform's control replicas.
constexpr Milliseconds kRestartDelay{500};
constexpr Milliseconds kMaintainInterval{100};
constexpr Milliseconds kNonVoterJoinInterval{200};
constexpr Milliseconds kVoterJoinInterval{800};
constexpr Milliseconds kSubmitTimeout{900};
constexpr Milliseconds kDepartureLimit{4'190};
constexpr Milliseconds kEndDelay{310}; // Minimal election timeout and one heartbeat.
constexpr Milliseconds kResubmitDelay{40};
constexpr std::size_t kSeeds = 3;         // In the settings file at first.
constexpr LogIndex kSnapshotEntries = 25; // Small, so that a run takes and installs snapshots.

RaftSettings ReplicaSettings()
{
  RaftSettings settings;
  settings.mHeartbeat = Milliseconds{60};
  settings.mElectionMin = Milliseconds{250};
  settings.mElectionMax = Milliseconds{500};
  settings.mFirstElectionTimeout = Milliseconds{160};
  settings.mSnapshotChunkBytes = 100;
  return settings;
}

ReplicaRepairSettings RepairSettings(std::size_t aVoters)
{
  ReplicaRepairSettings settings;
  settings.mTargetVoters = aVoters;
  return settings;
}

} // namespace

SupervisedCluster::SupervisedCluster(std::size_t aVoters, std::size_t aLearners,
                                     RestartRule aRestart, std::uint64_t aSeed)
  : mRestart(aRestart)
  , mVoters(aVoters)
  , mRandom(aSeed)
  , mCluster(aVoters + aLearners, aVoters, aSeed, ReplicaSettings())
  , mProcesses(aVoters + aLearners)
{
  for (std::size_t i = 0; i < std::min(aVoters, kSeeds); ++i) {
    mSeeds.push_back(Address(i));
  }
  for (std::size_t i = 0; i < Size(); ++i) {
    At(i).SetAfterFailedWrite(AfterFailedWrite::KeepFiles);
    mIndexes[At(i).Id()] = i;
    mProcesses[i].mPlanner.emplace(RepairSettings(aVoters));
    mProcesses[i].mJoinEndpoints.emplace(Address(i), mSeeds);
    mProcesses[i].mJoinAt = Now();
  }
  mCluster.ObserveMessages([this](const SimulatedReplica& aTo, const RaftMessage& aMessage) {
    if (const auto index = IndexOf(aTo.Id())) {
      mProcesses[*index].mPlanner->OnMessageFrom(aMessage.mFrom, Now());
    }
  });
}

void SupervisedCluster::RunFor(Milliseconds aTime)
{
  const TimePoint end = Now() + aTime;
  while (Now() < end) {
    Step();
  }
}

void SupervisedCluster::SendChangesEvery(std::optional<Milliseconds> aInterval)
{
  mInterval = aInterval;
  mNextChange = Now();
}

bool SupervisedCluster::Settled()
{
  const auto leader = Leader();
  if (!leader || !mCluster.Converged()) {
    return false;
  }
  const RaftMembership& members = At(*leader).Core().Members();
  const bool allMembers = std::all_of(mProcesses.begin(), mProcesses.end(), [&](const auto& aItem) {
    const auto index = static_cast<std::size_t>(&aItem - mProcesses.data());
    return aItem.mRunning && members.Find(At(index).Id()) != nullptr &&
           At(index).Core().Confirmed(Now());
  });
  return allMembers && members.VoterCount() >= mVoters && members.VoterCount() <= mVoters + 1;
}

void SupervisedCluster::WriteSeeds(const std::vector<std::size_t>& aReplicas)
{
  mSeeds.clear();
  for (const std::size_t index : aReplicas) {
    mSeeds.push_back(Address(index));
  }
}

void SupervisedCluster::RemoveVm(std::size_t aIndex)
{
  At(aIndex).End();
  mProcesses[aIndex].mDeparture.reset();
  mProcesses[aIndex].mRunning = false;
  mProcesses[aIndex].mRestartAt = TimePoint::max();
}

void SupervisedCluster::StopVm(std::size_t aIndex)
{
  ReplicaDepartureSettings settings;
  settings.mLimit = kDepartureLimit;
  mProcesses[aIndex].mDeparture.emplace(settings, Now());
  mProcesses[aIndex].mEndAt.reset();
}

void SupervisedCluster::AddVm(std::size_t aIndex)
{
  StartWithSeeds(aIndex);
}

void SupervisedCluster::Isolate(std::size_t aIndex)
{
  mIsolated.insert(aIndex);
  mCluster.Isolate(aIndex);
}

void SupervisedCluster::Heal()
{
  mIsolated.clear();
  mCluster.Heal();
}

bool SupervisedCluster::AllVotersRun()
{
  const auto leader = Leader();
  if (!leader) {
    return false;
  }
  const RaftMembership& members = At(*leader).Core().Members();
  const bool allRun =
    std::all_of(members.mReplicas.begin(), members.mReplicas.end(), [this](const auto& aItem) {
      const auto index = IndexOf(aItem.first);
      return !aItem.second.mVoter || (index && mProcesses[*index].mRunning);
    });
  return allRun && members.VoterCount() == mVoters;
}

void SupervisedCluster::LosePower()
{
  for (std::size_t i = 0; i < Size(); ++i) {
    At(i).Crash();
    StartWithSeeds(i);
  }
}

void SupervisedCluster::LosePowerAndDisks(const std::set<std::size_t>& aLostDisks)
{
  for (std::size_t i = 0; i < Size(); ++i) {
    if (!mProcesses[i].mRunning) {
      continue;
    }
    At(i).Crash();
    mProcesses[i].mRunning = false;
    mProcesses[i].mRestartAt = Now() + kRestartDelay;
    if (aLostDisks.contains(i) && At(i).TakeNewIdentity()) {
      mIndexes[At(i).Id()] = i;
    }
  }
}

std::optional<std::size_t> SupervisedCluster::Leader()
{
  const SimulatedReplica* leader = mCluster.Leader();
  return leader == nullptr ? std::nullopt : IndexOf(leader->Id());
}

std::string SupervisedCluster::FirstViolation()
{
  return mUnusableStore.empty() ? mCluster.Checker().FirstViolation() : mUnusableStore;
}

std::string SupervisedCluster::Describe()
{
  std::string text;
  for (std::size_t i = 0; i < Size(); ++i) {
    text += "; " + std::to_string(i) + " " + At(i).Id().substr(0, 8) + ": ";
    if (!At(i).Running()) {
      text += "down " + At(i).StopReason();
      continue;
    }
    const RaftCore& core = At(i).Core();
    text += std::string(ToString(core.Role())) + " term " + std::to_string(core.CurrentTerm()) +
            " last " + std::to_string(core.LastIndex()) + " commit " +
            std::to_string(core.CommitIndex()) + " voters " +
            std::to_string(core.Members().VoterCount()) + " of " +
            std::to_string(core.Members().mReplicas.size());
  }
  return text;
}

void SupervisedCluster::Step()
{
  mCluster.Step();
  for (std::size_t i = 0; i < Size(); ++i) {
    Supervise(i);
  }
  SendChanges();
}

void SupervisedCluster::Supervise(std::size_t aIndex)
{
  Process& process = mProcesses[aIndex];
  if (process.mRunning && !At(aIndex).Running()) {
    OnEnded(aIndex);
  }
  const bool mayStart = mRestart == RestartRule::AfterDelay || !At(aIndex).Files().Full();
  if (!process.mRunning && Now() >= process.mRestartAt && mayStart) {
    StartWithSeeds(aIndex);
  }
  if (process.mRunning) {
    MaybeSnapshot(aIndex);
  }
  if (process.mRunning) {
    NoteLeadership(aIndex);
  }
  if (process.mRunning && Now() >= process.mMaintainAt) {
    process.mMaintainAt = Now() + kMaintainInterval;
    Maintain(aIndex);
  }
  if (process.mRunning && process.mDeparture) {
    ContinueDeparture(aIndex);
  }
}

void SupervisedCluster::NoteLeadership(std::size_t aIndex)
{
  Process& process = mProcesses[aIndex];
  const RaftCore& core = At(aIndex).Core();
  if (At(aIndex).IsLeader() && process.mLedTerm != core.CurrentTerm()) {
    process.mLedTerm = core.CurrentTerm();
    process.mPlanner->OnBecameLeader(Now());
  }
}

void SupervisedCluster::ContinueDeparture(std::size_t aIndex)
{
  Process& process = mProcesses[aIndex];
  if (process.mEndAt) {
    if (Now() >= *process.mEndAt) {
      RemoveVm(aIndex);
    }
    return;
  }
  const RaftCore& core = At(aIndex).Core();
  const auto stamp = core.NewestLeaderStamp();
  const DepartureView view{At(aIndex).IsLeader(), stamp.has_value(),
                           core.Members().HasLearnerBesides(At(aIndex).Id())};
  switch (process.mDeparture->Next(view, Now())) {
    case DepartureStep::Wait:
      break;
    case DepartureStep::TransferLeadership:
      static_cast<void>(At(aIndex).Transfer(Now(), {}, process.mPlanner->Leaving()).has_value());
      break;
    case DepartureStep::AskLeader:
      SendLeave(aIndex, *stamp);
      break;
    case DepartureStep::End:
      static_cast<void>(At(aIndex).Transfer(Now(), {}, process.mPlanner->Leaving()).has_value());
      process.mEndAt = Now() + kEndDelay;
      break;
  }
}

void SupervisedCluster::SendLeave(std::size_t aIndex, const LeaderStamp& aStamp)
{
  const auto leaderId = At(aIndex).Core().Leader();
  const auto leader = leaderId ? IndexOf(*leaderId) : std::nullopt;
  if (!leader || !At(*leader).Running() || mIsolated.contains(*leader) ||
      mIsolated.contains(aIndex)) {
    return;
  }
  LeaveAnswer answer;
  if (At(*leader).IsLeader()) {
    const RaftMembership members = MembersOf(*leader);
    answer.mState = mProcesses[*leader].mPlanner->OnLeaveRequest({At(aIndex).Id(), aStamp},
                                                                 GroupOf(*leader, members), Now());
  }
  mProcesses[aIndex].mDeparture->OnAnswer(answer.mState);
}

ReplicaGroup SupervisedCluster::GroupOf(std::size_t aIndex, const RaftMembership& aMembers)
{
  const RaftCore& core = At(aIndex).Core();
  return {.mMembers = aMembers,
          .mSelf = At(aIndex).Id(),
          .mTerm = core.CurrentTerm(),
          .mMembersCommitted = core.CommittedMembers() == core.Members(),
          .mCommitIndex = core.CommitIndex(),
          .mMatchIndexOf = [&core](const ReplicaId& aId) { return core.MatchIndexOf(aId); }};
}

void SupervisedCluster::OnEnded(std::size_t aIndex)
{
  // The process itself goes on after its identity was refused.
  if (!At(aIndex).StopReason().empty()) {
    if (At(aIndex).TakeNewIdentity()) {
      ++mNewIdentities;
      mIndexes[At(aIndex).Id()] = aIndex;
      StartProcess(aIndex);
      return;
    }
  }
  mProcesses[aIndex].mRunning = false;
  mProcesses[aIndex].mRestartAt = Now() + kRestartDelay;
  mEnds.push_back({aIndex, Now()});
}

void SupervisedCluster::StartWithSeeds(std::size_t aIndex)
{
  mProcesses[aIndex].mJoinEndpoints.emplace(Address(aIndex), mSeeds);
  StartProcess(aIndex);
}

void SupervisedCluster::StartProcess(std::size_t aIndex)
{
  Process& process = mProcesses[aIndex];
  process.mPlanner.emplace(RepairSettings(mVoters));
  process.mLedTerm = 0;
  process.mDeparture.reset();
  process.mMaintainAt = Now();
  process.mJoinAt = Now();
  process.mRunning = At(aIndex).Start(Now());
  if (process.mRunning) {
    ++process.mStarts;
    return;
  }
  if (!At(aIndex).StopReason().empty()) {
    mUnusableStore = "unusable store: " + At(aIndex).StopReason();
  }
  process.mRestartAt = Now() + kRestartDelay;
  mEnds.push_back({aIndex, Now()});
}

void SupervisedCluster::Maintain(std::size_t aIndex)
{
  Process& process = mProcesses[aIndex];
  SimulatedReplica& replica = At(aIndex);
  if (!replica.IsLeader()) {
    if (!process.mDeparture && Now() >= process.mJoinAt) {
      const bool voter = replica.Core().Members().IsVoter(replica.Id());
      process.mJoinAt = Now() + (voter ? kVoterJoinInterval : kNonVoterJoinInterval);
      SendJoin(aIndex);
    }
    return;
  }
  const RaftMembership members = MembersOf(aIndex);
  if (const auto change = process.mPlanner->Next(GroupOf(aIndex, members), Now())) {
    // An error means that an earlier change is not committed yet.
    static_cast<void>(replica.Change(Now(), *change).has_value());
  }
}

void SupervisedCluster::SendJoin(std::size_t aIndex)
{
  const auto leader = At(aIndex).Core().Leader();
  JoinEndpoints& endpoints = *mProcesses[aIndex].mJoinEndpoints;
  if (endpoints.SeedsAreDue(leader.has_value(), Now())) {
    endpoints.SetSeeds(mSeeds);
  }
  endpoints.OnMembers(MembersOf(aIndex));
  // The leader's address counts: another identity may answer there now.
  const std::string leaderAddress = leader ? AddressOf(*leader) : "";
  const auto targets = endpoints.Targets(leaderAddress);
  const auto observers = MembersOf(aIndex).IsVoter(At(aIndex).Id())
                           ? endpoints.Observers(leaderAddress)
                           : std::set<std::string>();
  for (std::size_t i = 0; i < Size(); ++i) {
    const bool cut = mIsolated.contains(i) || mIsolated.contains(aIndex);
    if (At(i).Running() && !cut && targets.contains(Address(i))) {
      ReceiveJoin(i, At(aIndex).Id(), true);
    } else if (At(i).Running() && !cut && observers.contains(Address(i))) {
      ReceiveJoin(i, At(aIndex).Id(), false);
    }
  }
}

void SupervisedCluster::ReceiveJoin(std::size_t aIndex, const ReplicaId& aFrom, bool aMayForward)
{
  At(aIndex).ReceiveJoin(Now(), aFrom);
  const auto leader = At(aIndex).Core().Leader();
  if (At(aIndex).IsLeader()) {
    mProcesses[aIndex].mPlanner->OnJoinRequest(aFrom, AddressOf(aFrom), Now());
    return;
  }
  mProcesses[aIndex].mPlanner->OnMessageFrom(aFrom, Now());
  if (aMayForward && leader && At(mIndexes.at(*leader)).Running() &&
      !mIsolated.contains(mIndexes.at(*leader))) {
    ReceiveJoin(mIndexes.at(*leader), aFrom, false);
  }
}

void SupervisedCluster::MaybeSnapshot(std::size_t aIndex)
{
  const RaftCore& core = At(aIndex).Core();
  if (core.AppliedIndex() >= At(aIndex).SnapshotIndex() + kSnapshotEntries) {
    At(aIndex).TakeSnapshot();
    if (!At(aIndex).Running()) {
      OnEnded(aIndex);
    }
  }
}

void SupervisedCluster::SendChanges()
{
  if (mInterval && Now() >= mNextChange) {
    mNextChange = Now() + *mInterval;
    Attempt attempt;
    attempt.mChange = mChanges.size();
    StartAttempt(attempt);
    mChanges.push_back({Now(), std::nullopt, {}});
    mAttempts.push_back(attempt);
  }
  for (Attempt& attempt : mAttempts) {
    Continue(attempt);
  }
  std::erase_if(mAttempts, [this](const Attempt& aItem) {
    return mChanges[aItem.mChange].mAcknowledged.has_value();
  });
}

void SupervisedCluster::StartAttempt(Attempt& aAttempt)
{
  aAttempt.mReplica = mRandom.Below(Size());
  aAttempt.mReplicaStarts = mProcesses[aAttempt.mReplica].mStarts;
  aAttempt.mDeadline = Now() + kSubmitTimeout;
  aAttempt.mNextTry = Now();
  aAttempt.mEntry.reset();
}

void SupervisedCluster::Continue(Attempt& aAttempt)
{
  if (!Runs(aAttempt.mReplica, aAttempt.mReplicaStarts) || Now() >= aAttempt.mDeadline) {
    StartAttempt(aAttempt);
    return;
  }
  if (aAttempt.mEntry) {
    if (mCluster.Checker().WasReportedApplied(*aAttempt.mEntry)) {
      mChanges[aAttempt.mChange].mAcknowledged = Now();
      mChanges[aAttempt.mChange].mEntry = *aAttempt.mEntry;
      return;
    }
    const RaftCore* core =
      Runs(aAttempt.mProposer, aAttempt.mProposerStarts) ? &At(aAttempt.mProposer).Core() : nullptr;
    if (core != nullptr && core->AppliedIndex() < aAttempt.mEntry->mIndex) {
      return; // Not decided.
    }
    aAttempt.mEntry.reset();
    aAttempt.mNextTry = Now() + kResubmitDelay;
  }
  if (Now() < aAttempt.mNextTry) {
    return;
  }
  aAttempt.mNextTry = Now() + kResubmitDelay;
  const auto leaderId = At(aAttempt.mReplica).Core().Leader();
  const auto leader = leaderId ? IndexOf(*leaderId) : std::nullopt;
  if (!leader || !At(*leader).IsLeader()) {
    return;
  }
  const auto entry = At(*leader).Propose(Now(), ToCbor(std::vector<std::uint64_t>{mNextPayload++}));
  if (entry) {
    aAttempt.mEntry = entry.value();
    aAttempt.mProposer = *leader;
    aAttempt.mProposerStarts = mProcesses[*leader].mStarts;
  }
}

bool SupervisedCluster::Runs(std::size_t aIndex, std::size_t aStarts)
{
  return mProcesses[aIndex].mRunning && At(aIndex).Running() &&
         mProcesses[aIndex].mStarts == aStarts;
}

std::string SupervisedCluster::AddressOf(const ReplicaId& aId)
{
  return Address(mIndexes.at(aId));
}

std::string SupervisedCluster::Address(std::size_t aIndex)
{
  return "10.0.0." + std::to_string(aIndex) + ":7720";
}

RaftMembership SupervisedCluster::MembersOf(std::size_t aIndex)
{
  RaftMembership members = At(aIndex).Core().Members();
  for (auto& [id, info] : members.mReplicas) {
    info.mAddress = AddressOf(id);
  }
  return members;
}

std::optional<std::size_t> SupervisedCluster::IndexOf(const ReplicaId& aId)
{
  const auto found = mIndexes.find(aId);
  if (found == mIndexes.end() || At(found->second).Id() != aId) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace dandelionslip
