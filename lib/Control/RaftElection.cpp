// Pre-vote, votes, terms and refused identities.
#include "RaftCoreImpl.h"

namespace dandelionslip {

std::optional<std::string> RaftCore::Impl::ReasonToRefuse(const RaftMessage& aMessage) const
{
  // Only the committed membership counts: an uncommitted change may still be replaced.
  const RaftMembership& members = mLog.MembershipAt(mCommitIndex);
  if (members.IsRemoved(aMessage.mFrom)) {
    return "identity " + aMessage.mFrom + " was removed from the membership";
  }
  const ReplicaInfo* info = members.Find(aMessage.mFrom);
  if (info == nullptr || !info->mVoter) {
    return std::nullopt;
  }
  if (aMessage.mFromEmptyLog) {
    return "identity " + aMessage.mFrom + " is a voter, but its data directory holds no log";
  }
  if (info->mStore != 0 && info->mStore != aMessage.mFromStore) {
    return "identity " + aMessage.mFrom + " was promoted to voter with another data directory";
  }
  return std::nullopt;
}

bool RaftCore::Impl::HasRecentLeaderContact() const
{
  if (Role() == RaftRole::Leader) {
    return true;
  }
  return mLeader && mLastLeaderContact && mNow - *mLastLeaderContact < mSettings.mElectionMin;
}

// Adopts the sender's term if it is newer. Returns false if the message must not be handled.
bool RaftCore::Impl::AdoptTerm(const RaftMessage& aMessage)
{
  const bool isPreVote = std::holds_alternative<PreVoteRequest>(aMessage.mBody);
  if (aMessage.mTerm == mHardState.mTerm || isPreVote) {
    return true;
  }
  if (aMessage.mTerm > mHardState.mTerm) {
    const auto* vote = std::get_if<VoteRequest>(&aMessage.mBody);
    if (vote != nullptr && !vote->mTransfer && HasRecentLeaderContact()) {
      return false;
    }
    BecomeFollower(aMessage.mTerm, std::nullopt);
    return true;
  }
  // The answer tells a sender with an older term the current one.
  if (const auto* append = std::get_if<AppendRequest>(&aMessage.mBody)) {
    AnswerAppend(aMessage, *append, false, 0);
  } else if (const auto* snapshot = std::get_if<SnapshotRequest>(&aMessage.mBody)) {
    Answer(aMessage, SnapshotAnswer{snapshot->mIndex, 0, false, snapshot->mSentNs});
  } else if (std::holds_alternative<VoteRequest>(aMessage.mBody)) {
    Answer(aMessage, VoteAnswer{false});
  }
  return false;
}

bool RaftCore::Impl::IsCandidateLogUpToDate(LogIndex aLastIndex, Term aLastTerm) const
{
  const Term own = mLog.LastTerm();
  return aLastTerm > own || (aLastTerm == own && aLastIndex >= mLog.LastIndex());
}

void RaftCore::Impl::StartPreVote()
{
  mRole.Process(RoleEvent::ElectionDue);
  mLeader.reset();
  ResetElectionDeadline();
  mVotes = {mSelf};
  const PreVoteRequest request{mHardState.mTerm + 1, mLog.LastIndex(), mLog.LastTerm()};
  for (const auto& [id, info] : mLog.LatestMembership().mReplicas) {
    if (info.mVoter && id != mSelf) {
      Send(id, request);
    }
  }
  if (mVotes.size() >= mLog.LatestMembership().Quorum()) {
    StartElection(false);
  }
}

void RaftCore::Impl::StartElection(bool aTransfer)
{
  mRole.Process(aTransfer ? RoleEvent::TransferRequested : RoleEvent::PreVoteWon);
  mLeader.reset();
  ResetElectionDeadline();
  SetHardState(mHardState.mTerm + 1, mSelf);
  mVotes = {mSelf};
  const VoteRequest request{mLog.LastIndex(), mLog.LastTerm(), aTransfer};
  for (const auto& [id, info] : mLog.LatestMembership().mReplicas) {
    if (info.mVoter && id != mSelf) {
      Send(id, request);
    }
  }
  if (mVotes.size() >= mLog.LatestMembership().Quorum()) {
    BecomeLeader();
  }
}

void RaftCore::Impl::BecomeLeader()
{
  mRole.Process(RoleEvent::VoteWon);
  mLeader = mSelf;
  mLeaderSince = mNow;
  mHeartbeatDue = mNow + mSettings.mHeartbeat;
  mPeers.clear();
  UpdatePeers();
  // Entries of earlier terms are committed only through an entry of the leader's own term.
  mTermStartIndex = ProposeEntry(EntryKind::NoOp, {}).mIndex;
  for (auto& [id, peer] : mPeers) {
    SendHeartbeat(id, peer);
  }
}

// Counts the vote if it comes from a voter with the data directory that was promoted. Returns
// whether the votes now form a majority.
bool RaftCore::Impl::CountVote(const RaftMessage& aMessage)
{
  const RaftMembership& members = mLog.LatestMembership();
  const ReplicaInfo* info = members.Find(aMessage.mFrom);
  if (info == nullptr || !info->mVoter || aMessage.mFromEmptyLog ||
      (info->mStore != 0 && info->mStore != aMessage.mFromStore)) {
    return false;
  }
  mVotes.insert(aMessage.mFrom);
  return mVotes.size() >= members.Quorum();
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const PreVoteRequest& aRequest)
{
  const bool granted = !mLog.IsEmpty() && aRequest.mProposedTerm > mHardState.mTerm &&
                       !HasRecentLeaderContact() &&
                       IsCandidateLogUpToDate(aRequest.mLastIndex, aRequest.mLastTerm);
  Answer(aMessage, PreVoteAnswer{aRequest.mProposedTerm, granted});
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const PreVoteAnswer& aAnswer)
{
  const bool current = Role() == RaftRole::PreCandidate && aMessage.mToStore == mStore &&
                       aAnswer.mProposedTerm == mHardState.mTerm + 1;
  if (current && aAnswer.mGranted && CountVote(aMessage)) {
    StartElection(false);
  }
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const VoteRequest& aRequest)
{
  // A learner votes too, because it may have been promoted without having received the promotion.
  // The candidate counts only the voters of its own membership.
  const bool mayVote = mHardState.mVotedFor.empty() || mHardState.mVotedFor == aMessage.mFrom;
  const bool granted =
    mayVote && !mLog.IsEmpty() && IsCandidateLogUpToDate(aRequest.mLastIndex, aRequest.mLastTerm);
  if (granted) {
    SetHardState(mHardState.mTerm, aMessage.mFrom);
    ResetElectionDeadline();
  }
  Answer(aMessage, VoteAnswer{granted});
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const VoteAnswer& aAnswer)
{
  const bool current = Role() == RaftRole::Candidate && aMessage.mToStore == mStore;
  if (current && aAnswer.mGranted && CountVote(aMessage)) {
    BecomeLeader();
  }
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const TimeoutNow& /*aRequest*/)
{
  if (Role() == RaftRole::Follower && mLeader == aMessage.mFrom && aMessage.mToStore == mStore &&
      MayStartElection()) {
    StartElection(true);
  }
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const ReplicaRefusal& aRefusal)
{
  if (aMessage.mToStore == mStore) {
    Stop("refused by " + aMessage.mFrom + ": " + aRefusal.mReason);
  }
}

} // namespace dandelionslip
