// Events of the core and the actions built from their effects.
#include "RaftNode.h"

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

// How long after the start the first election timeout applies.
constexpr Milliseconds kFirstElections{1'000};

} // namespace

RaftCore::Node::Node(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow)
  : mSettings(aSettings)
  , mSelf(std::move(aState.mReplica))
  , mStore(aState.mStore)
  , mRandom(aRandom)
  , mSession(mRandom.Next())
  , mNow(aNow)
  , mStartedAt(aNow)
  , mHardState(std::move(aState.mHardState))
  , mLog(std::move(aState.mSnapshot), std::move(aState.mEntries))
  , mPersisted(mLog.LastIndex())
  , mCommit(mLog.SnapshotId().mIndex)
  , mApplied(mCommit)
{
  ResetElectionDeadline();
}

RaftActions RaftCore::Node::Tick(TimePoint aNow)
{
  Begin(aNow);
  if (!mSelfChecked) {
    CheckSelf();
  }
  if (Role() == RaftRole::Leader) {
    TickLeader();
  } else if (Role() != RaftRole::Stopped && mNow >= mElectionDeadline) {
    IsCandidateEligible() ? StartPreVote() : ResetElectionDeadline();
  }
  return Finish();
}

RaftActions RaftCore::Node::Receive(TimePoint aNow, const RaftMessage& aMessage)
{
  Begin(aNow);
  if (Role() == RaftRole::Stopped || aMessage.mTo != mSelf || aMessage.mFrom == mSelf) {
    return Finish();
  }
  if (const auto* refusal = std::get_if<ReplicaRefusal>(&aMessage.mBody)) {
    Handle(aMessage, *refusal);
    return Finish();
  }
  if (auto reason = ReasonToRefuse(aMessage)) {
    mRefusedPeers.push_back({aMessage.mFrom, *reason});
    Answer(aMessage, ReplicaRefusal{std::move(*reason)});
    return Finish();
  }
  if (AdoptTerm(aMessage)) {
    std::visit([&](const auto& aBody) { Handle(aMessage, aBody); }, aMessage.mBody);
  }
  return Finish();
}

RaftActions RaftCore::Node::OnPersisted(TimePoint aNow, EntryId aLast)
{
  Begin(aNow);
  if (mLog.TermAt(aLast.mIndex) == aLast.mTerm) {
    mPersisted = std::max(mPersisted, aLast.mIndex);
    MaybeCommit();
  }
  return Finish();
}

void RaftCore::Node::Compact(std::shared_ptr<const Snapshot> aSnapshot)
{
  if (aSnapshot->mIndex > mLog.SnapshotId().mIndex && aSnapshot->mIndex <= mApplied) {
    mLog.Compact(std::move(aSnapshot));
  }
}

bool RaftCore::Node::SnapshotDue() const
{
  return mApplied - mLog.SnapshotId().mIndex >= mSettings.mSnapshotEntries;
}

bool RaftCore::Node::Confirmed(TimePoint aNow) const
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

RaftActions RaftCore::Node::Finish()
{
  RaftActions actions;
  FinishMessages(actions);
  if (mApplied < mCommit) {
    actions.emplace_back(ApplyAction{mLog.Range(mApplied + 1, mCommit)});
    mApplied = mCommit;
  }
  const RoleChangedAction current{Role(), mHardState.mTerm, mLeader};
  if (current.mRole != mReported.mRole || current.mTerm != mReported.mTerm ||
      current.mLeader != mReported.mLeader) {
    actions.emplace_back(current);
    mReported = current;
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

void RaftCore::Node::FinishMessages(RaftActions& aActions)
{
  std::vector<RaftMessage> messages = std::exchange(mMessages, {});
  PersistAction persist = std::exchange(mPersist, {});
  auto install = std::exchange(mInstall, nullptr);
  if (IsEmpty(persist) && !install) {
    SendEach(std::move(messages), aActions);
    return;
  }
  if (!persist.mHardState && !install) {
    // A leader's own copy counts only after OnPersisted, so its entries may leave before the sync.
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

void RaftCore::Node::Send(const ReplicaId& aTo, RaftBody aBody, StoreId aToStore)
{
  mMessages.push_back(
    {mSelf, aTo, mHardState.mTerm, mStore, mLog.Blank(), aToStore, std::move(aBody)});
}

void RaftCore::Node::Answer(const RaftMessage& aRequest, RaftBody aBody)
{
  Send(aRequest.mFrom, std::move(aBody), aRequest.mFromStore);
}

void RaftCore::Node::AppendToLog(LogEntry aEntry)
{
  mPersist.mEntries.push_back(aEntry);
  mLog.Append(std::move(aEntry));
}

void RaftCore::Node::SetHardState(Term aTerm, ReplicaId aVotedFor)
{
  mHardState = {aTerm, std::move(aVotedFor)};
  mPersist.mHardState = mHardState;
}

void RaftCore::Node::AdvanceCommit(LogIndex aCommit)
{
  if (aCommit > mCommit) {
    mCommit = aCommit;
    CheckSelf();
  }
}

void RaftCore::Node::ResetElectionDeadline()
{
  const bool first = mNow - mStartedAt < kFirstElections;
  const Milliseconds longest = first && mSettings.mFirstElection.count() > 0
                                 ? mSettings.mFirstElection
                                 : mSettings.mElectionMax;
  const Milliseconds shortest = std::min(mSettings.mElectionMin, longest / 2);
  const auto range = static_cast<std::uint64_t>(RuntimeClock::duration(longest - shortest).count());
  mElectionDeadline =
    mNow + shortest + RuntimeClock::duration(static_cast<std::int64_t>(mRandom.Below(range + 1)));
}

void RaftCore::Node::BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader)
{
  if (aTerm > mHardState.mTerm) {
    SetHardState(aTerm, {});
    mIncoming.reset();
    mLeader.reset();
  }
  if (Role() != RaftRole::Follower) {
    mRole.Process(RoleEvent::StepDown);
    ResetElectionDeadline();
  }
  mPeers.clear();
  mVotes.clear();
  mTransferTarget.reset();
  if (aLeader || mLeader == mSelf) {
    mLeader = std::move(aLeader);
  }
}

void RaftCore::Node::StopSelf(std::string aReason)
{
  if (mRole.Process(RoleEvent::Refused)) {
    mStopReason = std::move(aReason);
    mLeader.reset();
    mPeers.clear();
  }
}

void RaftCore::Node::CheckSelf()
{
  mSelfChecked = true;
  const RaftMembership& members = mLog.MembershipAt(mCommit);
  if (members.IsRemoved(mSelf)) {
    StopSelf("identity " + mSelf + " was removed from the membership");
    return;
  }
  const ReplicaInfo* info = members.Find(mSelf);
  if (info != nullptr && info->mStore != 0 && info->mStore != mStore) {
    StopSelf("identity " + mSelf + " was promoted with another disk");
  }
}

bool RaftCore::Node::IsCandidateEligible() const
{
  return !mLog.Blank() && mLog.LatestMembership().IsVoter(mSelf);
}

LogIndex RaftCore::Node::MatchOf(const ReplicaId& aReplica) const
{
  if (aReplica == mSelf) {
    return mPersisted;
  }
  const auto found = mPeers.find(aReplica);
  return found == mPeers.end() ? 0 : found->second.mMatch;
}

} // namespace dandelionslip
