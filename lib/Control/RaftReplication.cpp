// Leader side of replication: appends, snapshots, commit, quorum contact.
#include "RaftNode.h"

#include <algorithm>
#include <functional>

namespace dandelionslip {

void RaftCore::Node::Handle(const RaftMessage& aMessage, const AppendAnswer& aAnswer)
{
  RaftPeer* peer = PeerOf(aMessage);
  if (peer == nullptr) {
    return;
  }
  NoteContact(*peer, aAnswer.mSentNs);
  const ClockStamp& stamp = aAnswer.mStamp;
  if (!peer->mStamp || peer->mStamp->mSession != stamp.mSession || peer->mStamp->mNs < stamp.mNs) {
    peer->mStamp = stamp;
    peer->mStampReceived = mNow;
  }
  if (aAnswer.mSuccess) {
    TakeMatch(*peer, aAnswer.mMatch);
  } else {
    TakeMismatch(*peer, aAnswer);
  }
  MaybeCommit();
  if (Role() == RaftRole::Leader) {
    Replicate(aMessage.mFrom, *peer);
    ContinueTransfer();
  }
}

void RaftCore::Node::Handle(const RaftMessage& aMessage, const SnapshotAnswer& aAnswer)
{
  RaftPeer* peer = PeerOf(aMessage);
  if (peer == nullptr) {
    return;
  }
  NoteContact(*peer, aAnswer.mSentNs);
  const bool current =
    peer->mMachine.State() == ReplicaState::Snapshot && peer->mSnapshot->mIndex == aAnswer.mIndex;
  if (!current) {
    return;
  }
  if (aAnswer.mInstalled) {
    peer->mMachine.Process(ReplicaEvent::Installed);
    peer->mSnapshot.reset();
    TakeMatch(*peer, aAnswer.mIndex);
    MaybeCommit();
    if (Role() == RaftRole::Leader) {
      Replicate(aMessage.mFrom, *peer);
    }
    return;
  }
  if (aAnswer.mNextOffset != peer->mOffset) {
    peer->mOffset = aAnswer.mNextOffset <= peer->mSnapshot->mState.size() ? aAnswer.mNextOffset : 0;
    SendChunk(aMessage.mFrom, *peer, true);
  }
}

// The peer that an answer comes from, or null if the answer must be ignored.
RaftPeer* RaftCore::Node::PeerOf(const RaftMessage& aMessage)
{
  const auto found = mPeers.find(aMessage.mFrom);
  const bool usable = Role() == RaftRole::Leader && aMessage.mToStore == mStore &&
                      found != mPeers.end() && CheckStore(aMessage, found->second);
  return usable ? &found->second : nullptr;
}

bool RaftCore::Node::CheckStore(const RaftMessage& aMessage, RaftPeer& aPeer)
{
  const ReplicaInfo* info = mLog.LatestMembership().Find(aMessage.mFrom);
  const StoreId store = aMessage.mFromStore;
  if (info->mVoter && (aMessage.mFromBlank || (info->mStore != 0 && info->mStore != store))) {
    if (aPeer.mMachine.Process(ReplicaEvent::Refused)) {
      mRefusedPeers.push_back({aMessage.mFrom, "the disk is not the one that was promoted"});
    }
    return false;
  }
  if (aPeer.mMachine.State() == ReplicaState::Refused ||
      std::find(aPeer.mRetiredStores.begin(), aPeer.mRetiredStores.end(), store) !=
        aPeer.mRetiredStores.end()) {
    return false;
  }
  if (aPeer.mStore == store) {
    return true;
  }
  if (aPeer.mStore != 0) {
    aPeer.mRetiredStores.push_back(aPeer.mStore);
    aPeer.mMachine.Process(ReplicaEvent::StoreChanged);
    aPeer.mMatch = 0;
    aPeer.mNext = mLog.LastIndex() + 1;
    aPeer.mInFlight.clear();
    aPeer.mSnapshot.reset();
  }
  aPeer.mStore = store;
  return true;
}

// The send time is used, because the peer may have moved on while its answer was under way.
void RaftCore::Node::NoteContact(RaftPeer& aPeer, std::int64_t aSentNs) const
{
  const TimePoint sent = std::min(TimePoint(RuntimeClock::duration(aSentNs)), mNow);
  aPeer.mContact = std::max(aPeer.mContact, std::optional(sent));
}

void RaftCore::Node::TakeMatch(RaftPeer& aPeer, LogIndex aMatch)
{
  if (aPeer.mMachine.State() == ReplicaState::Snapshot || aMatch > mLog.LastIndex()) {
    return;
  }
  aPeer.mMatch = std::max(aPeer.mMatch, aMatch);
  aPeer.mNext = std::max(aPeer.mNext, aPeer.mMatch + 1);
  while (!aPeer.mInFlight.empty() && aPeer.mInFlight.front() <= aPeer.mMatch) {
    aPeer.mInFlight.pop_front();
  }
  if (aPeer.mMachine.Process(ReplicaEvent::Matched)) {
    aPeer.mNext = aPeer.mMatch + 1;
    aPeer.mInFlight.clear();
  }
}

void RaftCore::Node::TakeMismatch(RaftPeer& aPeer, const AppendAnswer& aAnswer)
{
  const bool late = aAnswer.mPreviousIndex <= aPeer.mMatch;
  if (late || aPeer.mMachine.State() == ReplicaState::Snapshot) {
    return;
  }
  aPeer.mMachine.Process(ReplicaEvent::Mismatched);
  aPeer.mInFlight.clear();
  const LogIndex next = std::min(aAnswer.mPreviousIndex, aAnswer.mHint + 1);
  aPeer.mNext = std::clamp(next, aPeer.mMatch + 1, mLog.LastIndex() + 1);
}

// Sends what the peer can take now, after an answer or a new entry.
void RaftCore::Node::Replicate(const ReplicaId& aId, RaftPeer& aPeer)
{
  const ReplicaState state = aPeer.mMachine.State();
  if (state == ReplicaState::Refused || state == ReplicaState::Snapshot || aPeer.mStore == 0) {
    return;
  }
  if (aPeer.mNext <= mLog.SnapshotId().mIndex) {
    StartSnapshot(aId, aPeer);
    return;
  }
  if (state == ReplicaState::Probe) {
    SendAppend(aId, aPeer, false);
    return;
  }
  while (aPeer.mNext <= mLog.LastIndex() && aPeer.mInFlight.size() < mSettings.mMaxInFlight) {
    SendAppend(aId, aPeer, true);
  }
}

void RaftCore::Node::SendAppend(const ReplicaId& aId, RaftPeer& aPeer, bool aWithEntries)
{
  AppendRequest request;
  request.mPreviousIndex = aPeer.mNext - 1;
  request.mPreviousTerm = *mLog.TermAt(request.mPreviousIndex);
  if (aWithEntries) {
    request.mEntries =
      mLog.Slice(aPeer.mNext, mSettings.mMaxAppendEntries, mSettings.mMaxAppendBytes);
    aPeer.mNext += request.mEntries.size();
    aPeer.mInFlight.push_back(aPeer.mNext - 1);
  }
  request.mCommit = mCommit;
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

void RaftCore::Node::SendHeartbeat(const ReplicaId& aId, RaftPeer& aPeer)
{
  switch (aPeer.mMachine.State()) {
    case ReplicaState::Refused:
      // The refusal is sent in answer to a message, once the membership is committed.
      aPeer.mNext = mLog.LastIndex() + 1;
      SendAppend(aId, aPeer, false);
      return;
    case ReplicaState::Snapshot:
      SendChunk(aId, aPeer, mNow - aPeer.mChunkSent >= mSettings.mElectionMin);
      return;
    default:
      break;
  }
  if (aPeer.mNext <= mLog.SnapshotId().mIndex) {
    if (aPeer.mStore != 0) {
      StartSnapshot(aId, aPeer);
      return;
    }
    aPeer.mNext = mLog.LastIndex() + 1;
  }
  SendAppend(aId, aPeer, false);
}

void RaftCore::Node::SendChunk(const ReplicaId& aId, RaftPeer& aPeer, bool aWithData)
{
  const Snapshot& snapshot = *aPeer.mSnapshot;
  SnapshotRequest request;
  request.mIndex = snapshot.mIndex;
  request.mLastTerm = snapshot.mTerm;
  request.mMembership = snapshot.mMembership;
  request.mSize = snapshot.mState.size();
  request.mOffset = aPeer.mOffset;
  request.mSentNs = mNow.time_since_epoch().count();
  if (aWithData) {
    const auto rest = std::span(snapshot.mState).subspan(aPeer.mOffset);
    const auto chunk = rest.first(std::min(rest.size(), mSettings.mSnapshotChunkBytes));
    request.mData.assign(chunk.begin(), chunk.end());
    aPeer.mChunkSent = mNow;
  }
  Send(aId, std::move(request), aPeer.mStore);
}

void RaftCore::Node::StartSnapshot(const ReplicaId& aId, RaftPeer& aPeer)
{
  aPeer.mMachine.Process(ReplicaEvent::Compacted);
  aPeer.mSnapshot = mLog.LastSnapshot();
  aPeer.mOffset = 0;
  aPeer.mInFlight.clear();
  SendChunk(aId, aPeer, true);
}

void RaftCore::Node::BroadcastAppends()
{
  for (auto& [id, peer] : mPeers) {
    if (peer.mMachine.State() == ReplicaState::Replicate) {
      Replicate(id, peer);
    }
  }
}

void RaftCore::Node::MaybeCommit()
{
  if (Role() != RaftRole::Leader) {
    return;
  }
  std::vector<LogIndex> durable;
  for (const auto& [id, info] : mLog.LatestMembership().mReplicas) {
    if (info.mVoter) {
      durable.push_back(MatchOf(id));
    }
  }
  std::sort(durable.begin(), durable.end(), std::greater<>());
  const LogIndex reached = durable[mLog.LatestMembership().Quorum() - 1];
  if (reached <= mCommit || mLog.TermAt(reached) != mHardState.mTerm) {
    return;
  }
  AdvanceCommit(reached);
  for (auto& [id, peer] : mPeers) {
    // Followers learn the new commit index at once, so that they apply without waiting for the
    // next heartbeat.
    const bool idle = peer.mMachine.State() == ReplicaState::Replicate && peer.mStore != 0 &&
                      peer.mNext > mLog.LastIndex();
    if (idle) {
      SendAppend(id, peer, false);
    }
  }
}

std::optional<TimePoint> RaftCore::Node::QuorumContact() const
{
  std::vector<std::optional<TimePoint>> contacts;
  for (const auto& [id, info] : mLog.LatestMembership().mReplicas) {
    if (!info.mVoter) {
      continue;
    }
    const auto peer = mPeers.find(id);
    contacts.push_back(id == mSelf ? std::optional(mNow)
                                   : (peer == mPeers.end() ? std::nullopt : peer->second.mContact));
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts.empty() ? std::nullopt : contacts[mLog.LatestMembership().Quorum() - 1];
}

bool RaftCore::Node::HasCommittedInTerm() const
{
  return Role() == RaftRole::Leader && mCommit >= mTermStart;
}

void RaftCore::Node::TickLeader()
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
