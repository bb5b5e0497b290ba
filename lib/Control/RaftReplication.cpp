// Leader side of replication: appends, snapshots, commit, quorum contact.
#include "RaftCoreImpl.h"

#include <algorithm>
#include <functional>

namespace dandelionslip {

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const AppendAnswer& aAnswer)
{
  RaftPeer* peer = PeerOf(aMessage);
  if (peer == nullptr) {
    return;
  }
  RecordContact(*peer, aAnswer.mSentNs);
  const ClockStamp& stamp = aAnswer.mStamp;
  if (!peer->mStamp || peer->mStamp->mSession != stamp.mSession || peer->mStamp->mNs < stamp.mNs) {
    peer->mStamp = stamp;
    peer->mStampReceived = mNow;
  }
  if (aAnswer.mSuccess) {
    RecordMatch(*peer, aAnswer.mMatchIndex);
  } else {
    RecordMismatch(*peer, aAnswer);
  }
  MaybeCommit();
  if (Role() == RaftRole::Leader) {
    Replicate(aMessage.mFrom, *peer);
    ContinueTransfer();
  }
}

void RaftCore::Impl::Handle(const RaftMessage& aMessage, const SnapshotAnswer& aAnswer)
{
  RaftPeer* peer = PeerOf(aMessage);
  if (peer == nullptr) {
    return;
  }
  RecordContact(*peer, aAnswer.mSentNs);
  const bool current =
    peer->mStateMachine.State() == PeerState::Snapshot && peer->mSnapshot->mIndex == aAnswer.mIndex;
  if (!current) {
    return;
  }
  if (aAnswer.mInstalled) {
    peer->mStateMachine.Process(PeerEvent::Installed);
    peer->mSnapshot.reset();
    RecordMatch(*peer, aAnswer.mIndex);
    MaybeCommit();
    if (Role() == RaftRole::Leader) {
      Replicate(aMessage.mFrom, *peer);
    }
    return;
  }
  if (aAnswer.mNextOffset != peer->mChunkOffset) {
    peer->mChunkOffset =
      aAnswer.mNextOffset <= peer->mSnapshot->mState.size() ? aAnswer.mNextOffset : 0;
    SendChunk(aMessage.mFrom, *peer, true);
  }
}

RaftPeer* RaftCore::Impl::PeerOf(const RaftMessage& aMessage)
{
  const auto found = mPeers.find(aMessage.mFrom);
  const bool usable = Role() == RaftRole::Leader && aMessage.mToStore == mStore &&
                      found != mPeers.end() && AcceptStore(aMessage, found->second);
  return usable ? &found->second : nullptr;
}

bool RaftCore::Impl::AcceptStore(const RaftMessage& aMessage, RaftPeer& aPeer)
{
  const ReplicaInfo* info = mLog.LatestMembership().Find(aMessage.mFrom);
  const StoreId store = aMessage.mFromStore;
  if (info->mVoter && (aMessage.mFromEmptyLog || (info->mStore != 0 && info->mStore != store))) {
    if (aPeer.mStateMachine.Process(PeerEvent::Refused)) {
      mRefusedPeers.push_back(
        {aMessage.mFrom, "the data directory is not the one that was promoted"});
    }
    return false;
  }
  if (aPeer.mStateMachine.State() == PeerState::Refused ||
      std::find(aPeer.mRetiredStores.begin(), aPeer.mRetiredStores.end(), store) !=
        aPeer.mRetiredStores.end()) {
    return false;
  }
  if (aPeer.mStore == store) {
    return true;
  }
  if (aPeer.mStore != 0) {
    aPeer.mRetiredStores.push_back(aPeer.mStore);
    aPeer.mStateMachine.Process(PeerEvent::StoreChanged);
    aPeer.mMatchIndex = 0;
    aPeer.mNextIndex = mLog.LastIndex() + 1;
    aPeer.mInFlight.clear();
    aPeer.mSnapshot.reset();
  }
  aPeer.mStore = store;
  return true;
}

// Counts from the time at which the answered message was sent: while its answer was under way, the
// peer may have started to follow another leader.
void RaftCore::Impl::RecordContact(RaftPeer& aPeer, std::int64_t aSentNs) const
{
  const TimePoint sent = std::min(TimePoint(RuntimeClock::duration(aSentNs)), mNow);
  aPeer.mLastContact = std::max(aPeer.mLastContact, std::optional(sent));
}

void RaftCore::Impl::RecordMatch(RaftPeer& aPeer, LogIndex aMatch)
{
  if (aPeer.mStateMachine.State() == PeerState::Snapshot || aMatch > mLog.LastIndex()) {
    return;
  }
  aPeer.mMatchIndex = std::max(aPeer.mMatchIndex, aMatch);
  aPeer.mNextIndex = std::max(aPeer.mNextIndex, aPeer.mMatchIndex + 1);
  while (!aPeer.mInFlight.empty() && aPeer.mInFlight.front() <= aPeer.mMatchIndex) {
    aPeer.mInFlight.pop_front();
  }
  if (aPeer.mStateMachine.Process(PeerEvent::Matched)) {
    aPeer.mNextIndex = aPeer.mMatchIndex + 1;
    aPeer.mInFlight.clear();
  }
}

void RaftCore::Impl::RecordMismatch(RaftPeer& aPeer, const AppendAnswer& aAnswer)
{
  const bool late = aAnswer.mPreviousIndex <= aPeer.mMatchIndex;
  if (late || aPeer.mStateMachine.State() == PeerState::Snapshot) {
    return;
  }
  aPeer.mStateMachine.Process(PeerEvent::Mismatched);
  aPeer.mInFlight.clear();
  const LogIndex next = std::min(aAnswer.mPreviousIndex, aAnswer.mHint + 1);
  aPeer.mNextIndex = std::clamp(next, aPeer.mMatchIndex + 1, mLog.LastIndex() + 1);
}

// Sends the next messages to a peer after an answer or a new entry.
void RaftCore::Impl::Replicate(const ReplicaId& aId, RaftPeer& aPeer)
{
  const PeerState state = aPeer.mStateMachine.State();
  if (state == PeerState::Refused || state == PeerState::Snapshot || aPeer.mStore == 0) {
    return;
  }
  if (aPeer.mNextIndex <= mLog.SnapshotId().mIndex) {
    StartSnapshot(aId, aPeer);
    return;
  }
  if (state == PeerState::Probe) {
    SendAppend(aId, aPeer, false);
    return;
  }
  while (aPeer.mNextIndex <= mLog.LastIndex() && aPeer.mInFlight.size() < mSettings.mMaxInFlight) {
    SendAppend(aId, aPeer, true);
  }
}

void RaftCore::Impl::SendAppend(const ReplicaId& aId, RaftPeer& aPeer, bool aWithEntries)
{
  AppendRequest request;
  request.mPreviousIndex = aPeer.mNextIndex - 1;
  request.mPreviousTerm = *mLog.TermAt(request.mPreviousIndex);
  if (aWithEntries) {
    request.mEntries =
      mLog.Slice(aPeer.mNextIndex, mSettings.mMaxAppendEntries, mSettings.mMaxAppendBytes);
    aPeer.mNextIndex += request.mEntries.size();
    aPeer.mInFlight.push_back(aPeer.mNextIndex - 1);
  }
  request.mCommitIndex = mCommitIndex;
  request.mSentNs = mNow.time_since_epoch().count();
  if (const auto contact = QuorumContact(); contact && HasCommittedInTerm()) {
    request.mQuorumAgeNs = (mNow - *contact).count();
  }
  if (aPeer.mStamp) {
    request.mEcho = aPeer.mStamp;
    request.mEchoHeldNs = (mNow - aPeer.mStampReceived).count();
  }
  Send(aId, std::move(request), aPeer.mStore);
}

void RaftCore::Impl::SendHeartbeat(const ReplicaId& aId, RaftPeer& aPeer)
{
  switch (aPeer.mStateMachine.State()) {
    case PeerState::Refused:
      // Makes the peer answer: once the membership is committed, its next message is answered with
      // a refusal.
      aPeer.mNextIndex = mLog.LastIndex() + 1;
      SendAppend(aId, aPeer, false);
      return;
    case PeerState::Snapshot:
      SendChunk(aId, aPeer, mNow - aPeer.mChunkSent >= mSettings.mElectionMin);
      return;
    default:
      break;
  }
  if (aPeer.mNextIndex <= mLog.SnapshotId().mIndex) {
    if (aPeer.mStore != 0) {
      StartSnapshot(aId, aPeer);
      return;
    }
    aPeer.mNextIndex = mLog.LastIndex() + 1;
  }
  SendAppend(aId, aPeer, false);
}

void RaftCore::Impl::SendChunk(const ReplicaId& aId, RaftPeer& aPeer, bool aWithData)
{
  const Snapshot& snapshot = *aPeer.mSnapshot;
  SnapshotRequest request;
  request.mIndex = snapshot.mIndex;
  request.mLastTerm = snapshot.mTerm;
  request.mMembership = snapshot.mMembership;
  request.mSize = snapshot.mState.size();
  request.mOffset = aPeer.mChunkOffset;
  request.mSentNs = mNow.time_since_epoch().count();
  if (aWithData) {
    const auto rest = std::span(snapshot.mState).subspan(aPeer.mChunkOffset);
    const auto chunk = rest.first(std::min(rest.size(), mSettings.mSnapshotChunkBytes));
    request.mData.assign(chunk.begin(), chunk.end());
    aPeer.mChunkSent = mNow;
  }
  Send(aId, std::move(request), aPeer.mStore);
}

void RaftCore::Impl::StartSnapshot(const ReplicaId& aId, RaftPeer& aPeer)
{
  aPeer.mStateMachine.Process(PeerEvent::Compacted);
  aPeer.mSnapshot = mLog.LastSnapshot();
  aPeer.mChunkOffset = 0;
  aPeer.mInFlight.clear();
  SendChunk(aId, aPeer, true);
}

void RaftCore::Impl::BroadcastAppends()
{
  for (auto& [id, peer] : mPeers) {
    if (peer.mStateMachine.State() == PeerState::Replicate) {
      Replicate(id, peer);
    }
  }
}

void RaftCore::Impl::MaybeCommit()
{
  if (Role() != RaftRole::Leader) {
    return;
  }
  std::vector<LogIndex> durable;
  for (const auto& [id, info] : mLog.LatestMembership().mReplicas) {
    if (info.mVoter) {
      durable.push_back(MatchIndexOf(id));
    }
  }
  std::sort(durable.begin(), durable.end(), std::greater<>());
  const LogIndex reached = durable[mLog.LatestMembership().Quorum() - 1];
  if (reached <= mCommitIndex || mLog.TermAt(reached) != mHardState.mTerm) {
    return;
  }
  AdvanceCommit(reached);
  for (auto& [id, peer] : mPeers) {
    // Tells idle followers the new commit index at once, so that they apply without waiting for the
    // next heartbeat.
    const bool idle = peer.mStateMachine.State() == PeerState::Replicate && peer.mStore != 0 &&
                      peer.mNextIndex > mLog.LastIndex();
    if (idle) {
      SendAppend(id, peer, false);
    }
  }
}

std::optional<TimePoint> RaftCore::Impl::QuorumContact() const
{
  std::vector<std::optional<TimePoint>> contacts;
  for (const auto& [id, info] : mLog.LatestMembership().mReplicas) {
    if (!info.mVoter) {
      continue;
    }
    const auto peer = mPeers.find(id);
    contacts.push_back(id == mSelf
                         ? std::optional(mNow)
                         : (peer == mPeers.end() ? std::nullopt : peer->second.mLastContact));
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts.empty() ? std::nullopt : contacts[mLog.LatestMembership().Quorum() - 1];
}

bool RaftCore::Impl::HasCommittedInTerm() const
{
  return Role() == RaftRole::Leader && mCommitIndex >= mTermStartIndex;
}

void RaftCore::Impl::TickLeader()
{
  const auto contact = QuorumContact();
  const TimePoint reached = contact ? std::max(*contact, mLeaderSince) : mLeaderSince;
  if (mNow - reached > mSettings.mElectionMin) {
    BecomeFollower(mHardState.mTerm, std::nullopt);
    return;
  }
  if (mTransferTarget && mNow >= mTransferDeadline) {
    mTransferTarget.reset();
  }
  if (mNow >= mHeartbeatDue) {
    mHeartbeatDue = mNow + mSettings.mHeartbeat;
    for (auto& [id, peer] : mPeers) {
      SendHeartbeat(id, peer);
    }
  }
}

} // namespace dandelionslip
