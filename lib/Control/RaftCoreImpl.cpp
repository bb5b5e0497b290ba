// Events of RaftCore and the actions that result from them.
#include "RaftCoreImpl.h"

namespace dandelionslip {

namespace {

bool IsEmpty(const PersistAction& aAction)
{
  return !aAction.mHardState && !aAction.mTruncateFrom && aAction.mEntries.empty();
}

bool IsFromLeader(const RaftMessage& aMessage)
{
  return std::holds_alternative<AppendRequest>(aMessage.mBody) ||
         std::holds_alternative<SnapshotRequest>(aMessage.mBody);
}

void SendEach(std::vector<RaftMessage> aMessages, RaftActions& aActions)
{
  for (RaftMessage& message : aMessages) {
    aActions.emplace_back(SendAction{std::move(message)});
  }
}

std::uint64_t PayloadBytes(std::span<const LogEntry> aEntries)
{
  std::uint64_t bytes = 0;
  for (const LogEntry& entry : aEntries) {
    bytes += entry.mPayload.size();
  }
  return bytes;
}

// Bounds the share of a snapshot's cost in the cost of the entries before it.
constexpr std::uint64_t kSnapshotShare = 4;

// How long after the start RaftSettings::mFirstElectionTimeout applies.
constexpr Milliseconds kFirstElectionPeriod{1'000};

} // namespace

RaftCore::Impl::Impl(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow)
  : mSettings(aSettings)
  , mSelf(std::move(aState.mReplica))
  , mStore(aState.mStore)
  , mRandom(aRandom)
  , mSession(mRandom.Next())
  , mNow(aNow)
  , mStartedAt(aNow)
  , mHardState(std::move(aState.mHardState))
  , mLog(std::move(aState.mSnapshot), std::move(aState.mEntries))
  , mPersistedIndex(mLog.LastIndex())
  , mCommitIndex(mLog.SnapshotId().mIndex)
  , mAppliedIndex(mCommitIndex)
{
  ResetElectionDeadline();
}

RaftActions RaftCore::Impl::Tick(TimePoint aNow)
{
  SetNow(aNow);
  if (!mOwnIdentityChecked) {
    CheckOwnIdentity();
  }
  if (Role() == RaftRole::Leader) {
    TickLeader();
  } else if (Role() != RaftRole::Stopped && mNow >= mElectionDeadline) {
    MayStartElection() ? StartPreVote() : ForgetLeader();
  }
  return CollectActions();
}

// A replica without a vote then asks all replicas that it knows to join, not only the lost leader.
void RaftCore::Impl::ForgetLeader()
{
  mLeader.reset();
  ResetElectionDeadline();
}

RaftActions RaftCore::Impl::Receive(TimePoint aNow, const RaftMessage& aMessage)
{
  SetNow(aNow);
  if (Role() == RaftRole::Stopped || aMessage.mTo != mSelf || aMessage.mFrom == mSelf) {
    return CollectActions();
  }
  if (const auto* refusal = std::get_if<ReplicaRefusal>(&aMessage.mBody)) {
    Handle(aMessage, *refusal);
    return CollectActions();
  }
  if (auto reason = ReasonToRefuse(aMessage)) {
    mRefusedPeers.push_back({aMessage.mFrom, *reason});
    Answer(aMessage, ReplicaRefusal{std::move(*reason)});
    return CollectActions();
  }
  if (AdoptTerm(aMessage)) {
    std::visit([&](const auto& aBody) { Handle(aMessage, aBody); }, aMessage.mBody);
  }
  return CollectActions();
}

RaftActions RaftCore::Impl::ReceiveJoin(TimePoint aNow, const ReplicaId& aReplica)
{
  SetNow(aNow);
  if (Role() != RaftRole::Stopped && mLog.MembershipAt(mCommitIndex).IsRemoved(aReplica)) {
    // Changes nothing at the receiver. Its answer is refused, whatever it says.
    Send(aReplica, PreVoteRequest{mHardState.mTerm, mLog.LastIndex(), mLog.LastTerm()});
  }
  return CollectActions();
}

RaftActions RaftCore::Impl::OnPersisted(TimePoint aNow, EntryId aLast)
{
  SetNow(aNow);
  if (mLog.TermAt(aLast.mIndex) == aLast.mTerm) {
    mPersistedIndex = std::max(mPersistedIndex, aLast.mIndex);
    MaybeCommit();
  }
  return CollectActions();
}

void RaftCore::Impl::Compact(std::shared_ptr<const Snapshot> aSnapshot)
{
  if (aSnapshot->mIndex > mLog.SnapshotId().mIndex && aSnapshot->mIndex <= mAppliedIndex) {
    mLog.Compact(std::move(aSnapshot));
    mAppliedBytes = PayloadBytes(mLog.Range(mLog.SnapshotId().mIndex + 1, mAppliedIndex));
  }
}

bool RaftCore::Impl::SnapshotDue() const
{
  const auto& last = mLog.LastSnapshot();
  const std::uint64_t enough =
    std::max(mSettings.mSnapshotBytes, kSnapshotShare * (last ? last->mState.size() : 0));
  return mAppliedIndex - mLog.SnapshotId().mIndex >= mSettings.mSnapshotEntries ||
         mAppliedBytes >= enough;
}

bool RaftCore::Impl::Confirmed(TimePoint aNow) const
{
  if (Role() == RaftRole::Stopped) {
    return false;
  }
  std::optional<TimePoint> contact = mConfirmedAt;
  if (Role() == RaftRole::Leader && HasCommittedInTerm()) {
    contact = std::max(contact, QuorumContact());
  }
  return contact && aNow - *contact <= mSettings.mConfirmWindow;
}

RaftActions RaftCore::Impl::CollectActions()
{
  RaftActions actions;
  CollectMessages(actions);
  if (mAppliedIndex < mCommitIndex) {
    ApplyAction apply{mLog.Range(mAppliedIndex + 1, mCommitIndex)};
    mAppliedBytes += PayloadBytes(apply.mEntries);
    mAppliedIndex = mCommitIndex;
    actions.emplace_back(std::move(apply));
  }
  const RoleChangedAction current{Role(), mHardState.mTerm, mLeader};
  if (current.mRole != mReportedRole.mRole || current.mTerm != mReportedRole.mTerm ||
      current.mLeader != mReportedRole.mLeader) {
    actions.emplace_back(current);
    mReportedRole = current;
  }
  for (PeerRefusedAction& refused : mRefusedPeers) {
    actions.emplace_back(std::move(refused));
  }
  mRefusedPeers.clear();
  if (mStopReason) {
    actions.emplace_back(StopAction{std::move(*mStopReason)});
    mStopReason.reset();
  }
  return actions;
}

void RaftCore::Impl::CollectMessages(RaftActions& aActions)
{
  std::vector<RaftMessage> messages = std::exchange(mMessages, {});
  PersistAction persist = std::exchange(mPersistAction, {});
  auto install = std::exchange(mSnapshotToInstall, nullptr);
  if (IsEmpty(persist) && !install) {
    SendEach(std::move(messages), aActions);
    return;
  }
  if (!persist.mHardState && !install) {
    // A leader counts its own copy only after OnPersisted, so it may send entries before they are
    // synced.
    const auto split = std::stable_partition(messages.begin(), messages.end(), IsFromLeader);
    SendEach({messages.begin(), split}, aActions);
    messages.erase(messages.begin(), split);
  }
  if (!install) {
    persist.mMessagesAfterSync = std::move(messages);
    aActions.emplace_back(std::move(persist));
    return;
  }
  if (!IsEmpty(persist)) {
    aActions.emplace_back(std::move(persist));
  }
  aActions.emplace_back(
    InstallSnapshotAction{std::move(install), mInstallKeepsSuffix, std::move(messages)});
}

void RaftCore::Impl::Send(const ReplicaId& aTo, RaftBody aBody, StoreId aToStore)
{
  mMessages.push_back(
    {mSelf, aTo, mHardState.mTerm, mStore, mLog.IsEmpty(), aToStore, std::move(aBody)});
}

void RaftCore::Impl::Answer(const RaftMessage& aRequest, RaftBody aBody)
{
  Send(aRequest.mFrom, std::move(aBody), aRequest.mFromStore);
}

void RaftCore::Impl::AppendToLog(LogEntry aEntry)
{
  mPersistAction.mEntries.push_back(aEntry);
  mLog.Append(std::move(aEntry));
}

void RaftCore::Impl::SetHardState(Term aTerm, ReplicaId aVotedFor)
{
  mHardState = {aTerm, std::move(aVotedFor)};
  mPersistAction.mHardState = mHardState;
}

void RaftCore::Impl::AdvanceCommit(LogIndex aCommit)
{
  if (aCommit > mCommitIndex) {
    mCommitIndex = aCommit;
    CheckOwnIdentity();
  }
}

void RaftCore::Impl::ResetElectionDeadline()
{
  const bool first = mNow - mStartedAt < kFirstElectionPeriod;
  const Milliseconds longest = first && mSettings.mFirstElectionTimeout.count() > 0
                                 ? mSettings.mFirstElectionTimeout
                                 : mSettings.mElectionMax;
  const Milliseconds shortest = std::min(mSettings.mElectionMin, longest / 2);
  const auto range = static_cast<std::uint64_t>(RuntimeClock::duration(longest - shortest).count());
  mElectionDeadline =
    mNow + shortest + RuntimeClock::duration(static_cast<std::int64_t>(mRandom.Below(range + 1)));
}

void RaftCore::Impl::BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader)
{
  if (aTerm > mHardState.mTerm) {
    SetHardState(aTerm, {});
    mIncomingSnapshot.reset();
    mLeader.reset();
  }
  if (Role() != RaftRole::Follower) {
    mRole.Process(RoleEvent::StepDown);
    ResetElectionDeadline();
  }
  mPeers.clear();
  mVotes.clear();
  mTransferTarget.reset();
  // Keeps a known leader of this term unless it was this replica itself.
  if (aLeader || mLeader == mSelf) {
    mLeader = std::move(aLeader);
  }
}

void RaftCore::Impl::Stop(std::string aReason)
{
  if (mRole.Process(RoleEvent::Stop)) {
    mStopReason = std::move(aReason);
    mLeader.reset();
    mPeers.clear();
  }
}

void RaftCore::Impl::CheckOwnIdentity()
{
  mOwnIdentityChecked = true;
  const RaftMembership& members = mLog.MembershipAt(mCommitIndex);
  if (members.IsRemoved(mSelf)) {
    Stop("identity " + mSelf + " was removed from the membership");
    return;
  }
  const ReplicaInfo* info = members.Find(mSelf);
  if (info != nullptr && info->mStore != 0 && info->mStore != mStore) {
    Stop("identity " + mSelf + " was promoted to voter with another data directory");
  }
}

bool RaftCore::Impl::MayStartElection() const
{
  return !mLog.IsEmpty() && mLog.LatestMembership().IsVoter(mSelf);
}

std::optional<LeaderStamp> RaftCore::Impl::NewestLeaderStamp() const
{
  const bool current = mLeader && mLeaderStamp && mLeaderStamp->mTerm == mHardState.mTerm;
  return current ? mLeaderStamp : std::nullopt;
}

LogIndex RaftCore::Impl::MatchIndexOf(const ReplicaId& aReplica) const
{
  if (aReplica == mSelf) {
    return mPersistedIndex;
  }
  const auto found = mPeers.find(aReplica);
  return found == mPeers.end() ? 0 : found->second.mMatchIndex;
}

} // namespace dandelionslip
