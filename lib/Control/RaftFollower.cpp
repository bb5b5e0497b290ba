// Follower side of replication: entries, confirmation of reads, snapshots.
#include "RaftNode.h"

namespace dandelionslip {

namespace {

// Largest snapshot that is accepted; the sizes in use stay below a few megabytes.
constexpr std::uint64_t kMaxSnapshotBytes = 128U << 20U;

} // namespace

void RaftCore::Node::FollowLeader(const ReplicaId& aLeader)
{
  if (Role() != RaftRole::Follower || mLeader != aLeader) {
    BecomeFollower(mHardState.mTerm, aLeader);
  }
  mLeaderHeard = mNow;
  ResetElectionDeadline();
}

// Whether the entries follow each other, carry plausible terms and decodable memberships.
bool RaftCore::Node::EntriesAreSound(const AppendRequest& aRequest) const
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

bool RaftCore::Node::PreviousMatches(const AppendRequest& aRequest) const
{
  // Everything up to the snapshot is committed, so it equals the leader's log.
  return aRequest.mPreviousIndex < mLog.SnapshotId().mIndex ||
         mLog.TermAt(aRequest.mPreviousIndex) == aRequest.mPreviousTerm;
}

// Highest index below the refused one that may match: skips the whole conflicting term.
LogIndex RaftCore::Node::HintFor(const AppendRequest& aRequest) const
{
  if (aRequest.mPreviousIndex > mLog.LastIndex()) {
    return mLog.LastIndex();
  }
  const auto conflicting = mLog.TermAt(aRequest.mPreviousIndex);
  LogIndex hint = aRequest.mPreviousIndex;
  while (hint > mCommit && mLog.TermAt(hint) == conflicting) {
    --hint;
  }
  return hint;
}

// Adds what is missing; false if a committed entry would be replaced.
bool RaftCore::Node::TakeEntries(const AppendRequest& aRequest)
{
  for (const LogEntry& entry : aRequest.mEntries) {
    const auto known = mLog.TermAt(entry.mIndex);
    if (entry.mIndex <= mLog.SnapshotId().mIndex || known == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= mCommit) {
      StopSelf("leader " + mLeader.value_or("") + " replaces committed entry " +
               std::to_string(entry.mIndex));
      return false;
    }
    if (known) {
      mLog.TruncateFrom(entry.mIndex);
      mPersist.mTruncateFrom = entry.mIndex;
      mPersisted = std::min(mPersisted, entry.mIndex - 1);
    }
    AppendToLog(entry);
  }
  return true;
}

void RaftCore::Node::TakeConfirmation(const AppendRequest& aRequest)
{
  if (!aRequest.mQuorumAgeNs || !aRequest.mEcho || aRequest.mEcho->mSession != mSession ||
      mCommit < aRequest.mCommit) {
    return;
  }
  // The leader sent this message at least mEchoHeldNs after the stamp was taken here, so the sum
  // is not after the quorum contact, whatever the delay of the message was.
  const TimePoint contact(
    RuntimeClock::duration(aRequest.mEcho->mNs + aRequest.mEchoHeldNs - *aRequest.mQuorumAgeNs));
  mConfirmedAt = std::max(mConfirmedAt, std::optional(contact));
}

void RaftCore::Node::AnswerAppend(const RaftMessage& aMessage, const AppendRequest& aRequest,
                                  bool aSuccess, LogIndex aMatch)
{
  AppendAnswer answer;
  answer.mSuccess = aSuccess;
  answer.mMatch = aMatch;
  answer.mPreviousIndex = aRequest.mPreviousIndex;
  answer.mHint = aSuccess ? aMatch : HintFor(aRequest);
  answer.mSentNs = aRequest.mSentNs;
  answer.mStamp = {mSession, mNow.time_since_epoch().count()};
  Answer(aMessage, answer);
}

void RaftCore::Node::Handle(const RaftMessage& aMessage, const AppendRequest& aRequest)
{
  if (Role() == RaftRole::Leader || !EntriesAreSound(aRequest)) {
    return;
  }
  FollowLeader(aMessage.mFrom);
  // Entries meant for an earlier disk must not reach this one: the leader decides by the store
  // whether the replica may take part.
  const bool addressed = aMessage.mToStore == mStore || aRequest.mEntries.empty();
  if (!addressed || !PreviousMatches(aRequest)) {
    AnswerAppend(aMessage, aRequest, false, 0);
    return;
  }
  if (!TakeEntries(aRequest)) {
    return;
  }
  const LogIndex match = aRequest.mPreviousIndex + aRequest.mEntries.size();
  AdvanceCommit(std::min(aRequest.mCommit, match));
  TakeConfirmation(aRequest);
  AnswerAppend(aMessage, aRequest, true, match);
}

void RaftCore::Node::Handle(const RaftMessage& aMessage, const SnapshotRequest& aRequest)
{
  if (Role() == RaftRole::Leader || aRequest.mSize > kMaxSnapshotBytes) {
    return;
  }
  FollowLeader(aMessage.mFrom);
  if (aMessage.mToStore != mStore) {
    Answer(aMessage, SnapshotAnswer{aRequest.mIndex, 0, false, aRequest.mSentNs});
    return;
  }
  if (aRequest.mIndex > mCommit && TakeChunk(aRequest)) {
    Install(aRequest);
  }
  const std::uint64_t next = mIncoming ? mIncoming->mState.size() : 0;
  Answer(aMessage,
         SnapshotAnswer{aRequest.mIndex, next, aRequest.mIndex <= mCommit, aRequest.mSentNs});
}

// Adds a chunk that continues the transfer; true when the state is complete.
bool RaftCore::Node::TakeChunk(const SnapshotRequest& aRequest)
{
  const EntryId id{aRequest.mIndex, aRequest.mLastTerm};
  if (!mIncoming || mIncoming->mId != id) {
    mIncoming = IncomingSnapshot{id, {}};
  }
  Bytes& state = mIncoming->mState;
  if (aRequest.mOffset != state.size() || aRequest.mData.size() > aRequest.mSize - state.size()) {
    return false;
  }
  state.insert(state.end(), aRequest.mData.begin(), aRequest.mData.end());
  return state.size() == aRequest.mSize;
}

void RaftCore::Node::Install(const SnapshotRequest& aRequest)
{
  auto snapshot = std::make_shared<const Snapshot>(Snapshot{
    aRequest.mIndex, aRequest.mLastTerm, aRequest.mMembership, std::move(mIncoming->mState)});
  mIncoming.reset();
  mInstallKeepsSuffix = mLog.TermAt(snapshot->mIndex) == snapshot->mTerm;
  mInstallKeepsSuffix ? mLog.Compact(snapshot) : mLog.Replace(snapshot);
  mPersisted = mInstallKeepsSuffix ? std::max(mPersisted, snapshot->mIndex) : snapshot->mIndex;
  mInstall = snapshot;
  mApplied = snapshot->mIndex;
  AdvanceCommit(snapshot->mIndex);
}

} // namespace dandelionslip
