// Proposals, membership changes and leadership transfer.
#include "RaftCoreImpl.h"

#include "dandelionslip/Model/Endpoint.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace dandelionslip {

Status RaftCore::Impl::CheckMayPropose(const char* aStep) const
{
  if (Role() != RaftRole::Leader) {
    return Fail(ErrorCode::Unavailable, aStep, mLeader.value_or(""),
                "this replica is not the leader");
  }
  if (mTransferTarget) {
    return Fail(ErrorCode::Unavailable, aStep, *mTransferTarget,
                "a leadership transfer is running");
  }
  return Ok();
}

EntryId RaftCore::Impl::ProposeEntry(EntryKind aKind, Bytes aPayload)
{
  LogEntry entry{mLog.LastIndex() + 1, mHardState.mTerm, aKind, std::move(aPayload)};
  const EntryId id = entry.Id();
  AppendToLog(std::move(entry));
  BroadcastAppends();
  return id;
}

Result<EntryId> RaftCore::Impl::Propose(TimePoint aNow, Bytes aPayload, RaftActions& aActions)
{
  SetNow(aNow);
  BOOST_OUTCOME_TRY(CheckMayPropose("raft.propose"));
  if (aPayload.size() > mSettings.mMaxPayloadBytes) {
    return Fail(ErrorCode::LimitExceeded, "raft.propose", mSelf,
                "payload of " + std::to_string(aPayload.size()) + " bytes, at most " +
                  std::to_string(mSettings.mMaxPayloadBytes) + " are accepted");
  }
  const EntryId id = ProposeEntry(EntryKind::Command, std::move(aPayload));
  aActions = CollectActions();
  return id;
}

Result<EntryId> RaftCore::Impl::ProposeChange(TimePoint aNow, const RaftMembershipChange& aChange,
                                              RaftActions& aActions)
{
  SetNow(aNow);
  BOOST_OUTCOME_TRY(CheckMayPropose("raft.change"));
  if (!HasCommittedInTerm()) {
    return Fail(ErrorCode::Conflict, "raft.change", mSelf, "no entry of this term is committed");
  }
  if (mLog.LatestMembershipIndex() > mCommitIndex) {
    return Fail(ErrorCode::Conflict, "raft.change", mSelf,
                "the change at entry " + std::to_string(mLog.LatestMembershipIndex()) +
                  " is not committed");
  }
  BOOST_OUTCOME_TRY(const auto members, MembershipAfter(aChange));
  const EntryId id = ProposeEntry(EntryKind::Membership, ToCbor(members));
  UpdatePeers();
  MaybeCommit();
  aActions = CollectActions();
  return id;
}

// Adds and removes peers to match the newest membership.
void RaftCore::Impl::UpdatePeers()
{
  const RaftMembership& members = mLog.LatestMembership();
  std::erase_if(mPeers, [&](const auto& aItem) { return members.Find(aItem.first) == nullptr; });
  for (const auto& [id, info] : members.mReplicas) {
    if (id != mSelf && !mPeers.contains(id)) {
      mPeers[id].mNextIndex = mLog.LastIndex() + 1;
    }
  }
}

Result<RaftMembership> RaftCore::Impl::MembershipAfter(const RaftMembershipChange& aChange) const
{
  RaftMembership members = mLog.LatestMembership();
  if (members.IsRemoved(aChange.mReplica)) {
    return Fail(ErrorCode::InvalidInput, "raft.change", aChange.mReplica,
                "the identity was removed and cannot be added again");
  }
  const bool present = members.Find(aChange.mReplica) != nullptr;
  if (!present && aChange.mKind != RaftMembershipChangeKind::AddLearner) {
    return Fail(ErrorCode::NotFound, "raft.change", aChange.mReplica, "not in the membership");
  }
  Status changed = Ok();
  switch (aChange.mKind) {
    case RaftMembershipChangeKind::AddLearner:
      changed = AddLearner(members, aChange);
      break;
    case RaftMembershipChangeKind::Promote:
      changed = Promote(members, aChange);
      break;
    case RaftMembershipChangeKind::Remove:
      changed = Remove(members, aChange);
      break;
    case RaftMembershipChangeKind::Demote:
      changed = Demote(members, aChange);
      break;
  }
  BOOST_OUTCOME_TRY(std::move(changed));
  return members;
}

Status RaftCore::Impl::AddLearner(RaftMembership& aMembers,
                                  const RaftMembershipChange& aChange) const
{
  if (!IsReplicaId(aChange.mReplica)) {
    return Fail(ErrorCode::InvalidInput, "raft.change", aChange.mReplica,
                "expected a UUID in lower-case form");
  }
  if (const auto address = Endpoint::Parse(aChange.mAddress); !address) {
    return address.as_failure();
  }
  if (aMembers.Find(aChange.mReplica) != nullptr) {
    return Fail(ErrorCode::InvalidInput, "raft.change", aChange.mReplica,
                "already in the membership");
  }
  aMembers.mReplicas[aChange.mReplica] = {aChange.mAddress, false, 0};
  return Ok();
}

Status RaftCore::Impl::Promote(RaftMembership& aMembers, const RaftMembershipChange& aChange) const
{
  ReplicaInfo& info = aMembers.mReplicas[aChange.mReplica];
  if (info.mVoter) {
    return Fail(ErrorCode::InvalidInput, "raft.change", aChange.mReplica, "already a voter");
  }
  const RaftPeer& peer = mPeers.at(aChange.mReplica);
  const bool fresh = peer.mLastContact && mNow - *peer.mLastContact <= mSettings.mElectionMin;
  if (!fresh || peer.mStore == 0 || peer.mMatchIndex < mCommitIndex) {
    return Fail(ErrorCode::Conflict, "raft.change", aChange.mReplica,
                "log is durable up to entry " + std::to_string(peer.mMatchIndex) +
                  ", expected at least " + std::to_string(mCommitIndex) +
                  (fresh ? "" : "; no recent contact"));
  }
  info.mVoter = true;
  info.mStore = peer.mStore;
  return Ok();
}

Status RaftCore::Impl::Remove(RaftMembership& aMembers, const RaftMembershipChange& aChange) const
{
  if (aChange.mReplica == mSelf) {
    return Fail(ErrorCode::InvalidInput, "raft.change", mSelf,
                "the leader cannot remove itself; transfer leadership first");
  }
  aMembers.mReplicas.erase(aChange.mReplica);
  aMembers.mRemoved.push_back(aChange.mReplica);
  return Ok();
}

Status RaftCore::Impl::Demote(RaftMembership& aMembers, const RaftMembershipChange& aChange) const
{
  if (aChange.mReplica == mSelf) {
    return Fail(ErrorCode::InvalidInput, "raft.change", mSelf,
                "the leader cannot demote itself; transfer leadership first");
  }
  ReplicaInfo& info = aMembers.mReplicas[aChange.mReplica];
  if (!info.mVoter) {
    return Fail(ErrorCode::InvalidInput, "raft.change", aChange.mReplica, "not a voter");
  }
  info.mVoter = false;
  info.mStore = 0;
  return Ok();
}

Status RaftCore::Impl::TransferLeadership(TimePoint aNow, const ReplicaId& aTarget,
                                          RaftActions& aActions,
                                          std::span<const ReplicaId> aAvoided)
{
  SetNow(aNow);
  BOOST_OUTCOME_TRY(CheckMayPropose("raft.transfer"));
  const RaftMembership& members = mLog.LatestMembership();
  // Avoided replicas come last, then those with shorter logs.
  const auto rank = [&](const auto& aItem) {
    const bool avoided = std::find(aAvoided.begin(), aAvoided.end(), aItem.first) != aAvoided.end();
    return std::pair(!avoided, aItem.second.mMatchIndex);
  };
  const std::pair<const ReplicaId, RaftPeer>* best = nullptr;
  for (const auto& item : mPeers) {
    const bool wanted = aTarget.empty() || item.first == aTarget;
    const bool usable = members.IsVoter(item.first) && item.second.mLastContact &&
                        item.second.mStateMachine.State() != PeerState::Refused;
    if (wanted && usable && (best == nullptr || rank(item) > rank(*best))) {
      best = &item;
    }
  }
  if (best == nullptr) {
    return Fail(ErrorCode::NotFound, "raft.transfer", aTarget,
                "no voter to transfer leadership to is in contact with this leader");
  }
  mTransferTarget = best->first;
  mTransferDeadline = mNow + mSettings.mElectionMax;
  mTimeoutNowSent = false;
  ContinueTransfer();
  aActions = CollectActions();
  return Ok();
}

void RaftCore::Impl::ContinueTransfer()
{
  if (!mTransferTarget || mTimeoutNowSent) {
    return;
  }
  const RaftPeer& peer = mPeers.at(*mTransferTarget);
  if (peer.mMatchIndex == mLog.LastIndex()) {
    mTimeoutNowSent = true;
    Send(*mTransferTarget, TimeoutNow{}, peer.mStore);
  }
}

} // namespace dandelionslip
