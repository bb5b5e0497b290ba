// Follower side of replication: entries, quorum contact for reads, snapshots.
#include "RaftCoreImpl.h"

namespace dandelionslip {

namespace {

// Largest snapshot that is accepted; the sizes in use stay below a few megabytes.
constexpr std::uint64_t kMaxSnapshotBytes = 128U << 20U;

} // namespace

void RaftCore::Impl::FollowLeader(const ReplicaId& aLeader, std::int64_t aSentNs)
{
  if (Role() != RaftRole::Follower || mLeader != aLeader) {
    BecomeFollower(mHardState.mTerm, aLeader);
  }
  mLastLeaderContact = mNow;
  const bool newer =
    !mLeaderStamp || mLeaderStamp->mTerm != mHardState.mTerm || mLeaderStamp->mSentNs < aSentNs;
  if (newer) {
    mLeaderStamp = LeaderStamp{mHardState.mTerm, aSentNs};
  }
  ResetElectionDeadline();
}

// Whether the indexes are consecutive, the terms neither fall nor exceed the current one, and the
// memberships can be decoded.
bool RaftCore::Impl::EntriesAreValid(const AppendRequest& aRequest) const
{
  LogIndex expected = aRequest.mPreviousIndex + 1;
  Term lowest = aRequest.mPreviousTerm;
  for (const LogEntry& entry : aRequest.mEntries) {
    if (entry.mIndex != expected++ || entry.mTerm < lowest || entry.mTerm > mHardState.mTerm) {
      return false;
    }
    lowest = entry.mTerm;
    if (entry.mKind == EntryKind::Membership &&
        !FromCbor<RaftMembership>(entry.mPayload, "append")) {
      return false;
    }
  }
  return true;
}

bool RaftCore::Impl::PreviousMatches(const AppendRequest& aRequest) const
{
  // Everything up to the snapshot is committed, so it equals the leader's log.
  return aRequest.mPreviousIndex < mLog.SnapshotId().mIndex ||
         mLog.TermAt(aRequest.mPreviousIndex) == aRequest.mPreviousTerm;
}

// Highest index that may match the leader's log. Skips all uncommitted entries of the conflicting
// term.
LogIndex RaftCore::Impl::ConflictHint(const AppendRequest& aRequest) const
{
  if (aRequest.mPreviousIndex > mLog.LastIndex()) {
    return mLog.LastIndex();
  }
  const auto conflicting = mLog.TermAt(aRequest.mPreviousIndex);
  LogIndex hint = aRequest.mPreviousIndex;
  while (hint > mCommitIndex && mLog.TermAt(hint) == conflicting) {
    --hint;
  }
  return hint;
}

// Appends missing entries and replaces conflicting ones. Returns false, and stops the replica, if a
// committed entry would be replaced.
bool RaftCore::Impl::AppendMissingEntries(const AppendRequest& aRequest)
{
  for (const LogEntry& entry : aRequest.mEntries) {
    const auto known = mLog.TermAt(entry.mIndex);
    if (entry.mIndex <= mLog.SnapshotId().mIndex || known == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= mCommitIndex) {
      Stop("leader " + mLeader.value_or("") +
           " sent an entry that conflicts with committed entry " + std::to_string(entry.mIndex));
      return false;
    }
    if (known) {
      mLog.TruncateFrom(entry.mIndex);
      mPersistAction.mTruncateFrom = entry.mIndex;
      mPersistedIndex = std::min(mPersistedIndex, entry.mIndex - 1);
    }
    AppendToLog(entry);
  }
  return true;
}

void RaftCore::Impl::UpdateConfirmation(const AppendRequest& aRequest)
{
  if (!aRequest.mQuorumAgeNs || !aRequest.mEcho || aRequest.mEcho->mSession != mSession ||
      mCommitIndex < aRequest.mCommitIndex) {
    return;
  }
  // The leader sent this message at least mEchoHeldNs after this replica took the stamp. The result
  // is therefore never later than the quorum contact, however long the message took.
  const TimePoint contact(
    RuntimeClock::duration(aRequest.mEcho->mNs + aRequest.mEchoHeldNs - *aRequest.mQuorumAgeNs));
  mConfirmedAt = std::max(mConfirmedAt, std::optional(contact));
}

void RaftCore::Impl::AnswerAppend(const RaftMessage& aMessage, const AppendRequest& aRequest,
                                  bool aSuccess, LogIndex aMatch)
{
  AppendAnswer answer;
  answer.mSuccess = aSuccess;
  answer.mMatchIndex = aMatch;
  answer.mPreviousIndex = aRequest.mPreviousIndex;
  answer.mHint = aSuccess ? aMatch : ConflictHint(aRequest);
  answer.mSentNs = aRequest.mSentNs;
  answer.mStamp = {mSession, mNow.time_since_epoch().count()};
  Answer(aMessage, answer);
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const AppendRequest& aRequest)
{
  if (Role() == RaftRole::Leader || !EntriesAreValid(aRequest)) {
    return;
  }
  FollowLeader(aMessage.mFrom, aRequest.mSentNs);
  // Entries addressed to a lost data directory must not be stored in the new one: the leader
  // decides by the store id whether the replica may take part.
  const bool addressed = aMessage.mToStore == mStore || aRequest.mEntries.empty();
  if (!addressed || !PreviousMatches(aRequest)) {
    AnswerAppend(aMessage, aRequest, false, 0);
    return;
  }
  if (!AppendMissingEntries(aRequest)) {
    return;
  }
  const LogIndex match = aRequest.mPreviousIndex + aRequest.mEntries.size();
  AdvanceCommit(std::min(aRequest.mCommitIndex, match));
  UpdateConfirmation(aRequest);
  AnswerAppend(aMessage, aRequest, true, match);
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const SnapshotRequest& aRequest)
{
  if (Role() == RaftRole::Leader || aRequest.mSize > kMaxSnapshotBytes) {
    return;
  }
  FollowLeader(aMessage.mFrom, aRequest.mSentNs);
  if (aMessage.mToStore != mStore) {
    Answer(aMessage, SnapshotAnswer{aRequest.mIndex, 0, false, aRequest.mSentNs});
    return;
  }
  if (aRequest.mIndex > mCommitIndex && AppendChunk(aRequest)) {
    InstallSnapshot(aRequest);
  }
  const std::uint64_t next = mIncomingSnapshot ? mIncomingSnapshot->mState.size() : 0;
  Answer(aMessage,
         SnapshotAnswer{aRequest.mIndex, next, aRequest.mIndex <= mCommitIndex, aRequest.mSentNs});
}

// Appends the chunk if it continues the transfer. Returns whether the state is complete.
bool RaftCore::Impl::AppendChunk(const SnapshotRequest& aRequest)
{
  const EntryId id{aRequest.mIndex, aRequest.mLastTerm};
  if (!mIncomingSnapshot || mIncomingSnapshot->mId != id) {
    mIncomingSnapshot = IncomingSnapshot{id, {}};
  }
  Bytes& state = mIncomingSnapshot->mState;
  if (aRequest.mOffset != state.size() || aRequest.mData.size() > aRequest.mSize - state.size()) {
    return false;
  }
  state.insert(state.end(), aRequest.mData.begin(), aRequest.mData.end());
  return state.size() == aRequest.mSize;
}

void RaftCore::Impl::InstallSnapshot(const SnapshotRequest& aRequest)
{
  auto snapshot = std::make_shared<const Snapshot>(Snapshot{aRequest.mIndex, aRequest.mLastTerm,
                                                            aRequest.mMembership,
                                                            std::move(mIncomingSnapshot->mState)});
  mIncomingSnapshot.reset();
  mInstallKeepsSuffix = mLog.TermAt(snapshot->mIndex) == snapshot->mTerm;
  mInstallKeepsSuffix ? mLog.Compact(snapshot) : mLog.Replace(snapshot);
  mPersistedIndex =
    mInstallKeepsSuffix ? std::max(mPersistedIndex, snapshot->mIndex) : snapshot->mIndex;
  mSnapshotToInstall = snapshot;
  mAppliedIndex = snapshot->mIndex;
  mAppliedBytes = 0;
  AdvanceCommit(snapshot->mIndex);
}

} // namespace dandelionslip
