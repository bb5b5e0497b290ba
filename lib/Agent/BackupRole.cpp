// Receives, uses and returns the state of restarting agents.
#include "dandelionslip/Agent/BackupRole.h"

#include "BucketExport.h"
#include "dandelionslip/Route/FlowHash.h"

#include <algorithm>

namespace dandelionslip {

BackupRole::BackupRole(FlowContext& aContext, BucketRecords* aRecords)
  : mContext(aContext)
  , mRecords(aRecords)
{
}

void BackupRole::Add(const std::string& aFrom, const StateHandover& aState, TimePoint aNow)
{
  KeptState kept;
  kept.mHandover = aState;
  kept.mDirectory = ImportDirectory(aState.mDirectory, mContext.mTable.Buckets(), aNow);
  kept.mPreviousBackup = aFrom == aState.mMember ? "" : aFrom;
  kept.mSender = aFrom;
  kept.mExpiresAt = aNow + mContext.mSettings.mKeptStateLifetime;
  for (const FlowState& flow : aState.mFlows) {
    kept.mFlows.insert(flow.mFlow);
  }
  if (mRecords != nullptr) {
    mRecords->Import(CompleteBuckets(kept.mDirectory), aState.mRecords);
  }
  mKeptStates[aState.mMember] = std::move(kept);
}

void BackupRole::OnHandover(const std::string& aFrom, const StateHandover& aState, TimePoint aNow,
                            FlowActions& aOut)
{
  if (aState.mServiceId != mContext.mTable.Id()) {
    return;
  }
  const KeptState* kept = FindKeptState(aState.mMember);
  if (kept != nullptr && kept->mHandover.mIncarnation > aState.mIncarnation) {
    return;
  }
  // A repeated handover is only acknowledged, because the directory may have changed since the
  // first one.
  const bool repeated = kept != nullptr && kept->mHandover.mIncarnation == aState.mIncarnation &&
                        kept->mSender == aFrom &&
                        kept->mHandover.mSenderIncarnation >= aState.mSenderIncarnation;
  if (!repeated) {
    Add(aFrom, aState, aNow);
  }
  aOut.emplace_back(SendPeerMessage{
    aFrom, StateHandoverAck{mContext.mSettings.mName, aState.mMember, aState.mIncarnation}});
}

StateHandover BackupRole::ReturnState(KeptState& aKept, std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aKept.mFetchedBy == 0) {
    aKept.mFetchedBy = aIncarnation;
    aKept.mExpiresAt = aNow + mContext.mSettings.mKeptStateLifetime;
    aKept.mHandover.mDirectory = ExportDirectory(aKept.mDirectory);
    if (mRecords != nullptr) {
      aKept.mHandover.mRecords =
        mRecords->Export(CompleteBuckets(aKept.mDirectory), aKept.mHandover.mMember);
    }
  }
  return aKept.mHandover;
}

void BackupRole::OnResumeRequest(const ResumeRequest& aRequest, TimePoint aNow, FlowActions& aOut)
{
  KeptState* kept = FindKeptState(aRequest.mMember);
  if (kept != nullptr && kept->mFetchedBy != 0 && !kept->mPreviousBackup.empty()) {
    aOut.emplace_back(SendPeerMessage{kept->mPreviousBackup, aRequest});
    return;
  }
  ResumeAnswer answer{mContext.mSettings.mName, aRequest.mIncarnation, std::nullopt, {}};
  if (kept != nullptr && (kept->mFetchedBy == 0 || kept->mFetchedBy == aRequest.mIncarnation)) {
    answer.mState = ReturnState(*kept, aRequest.mIncarnation, aNow);
  }
  for (auto& [member, state] : mKeptStates) {
    if (state.mPreviousBackup == aRequest.mMember &&
        (state.mFetchedBy == 0 || state.mFetchedBy == aRequest.mIncarnation)) {
      answer.mKeptStates.push_back(ReturnState(state, aRequest.mIncarnation, aNow));
    }
  }
  aOut.emplace_back(SendPeerMessage{aRequest.mMember, std::move(answer)});
}

std::optional<TransferAnswer> BackupRole::AnswerTransferRequest(const TransferRequest& aRequest)
{
  KeptState* kept = FindKeptState(aRequest.mOwner);
  if (kept == nullptr || kept->mFetchedBy != 0) {
    return std::nullopt;
  }
  TransferAnswer answer{aRequest.mOwner, mContext.mTable.Id(), aRequest.mEpoch, {}, {}};
  std::vector<std::uint32_t> complete;
  for (const std::uint32_t bucket : aRequest.mBuckets) {
    if (bucket >= kept->mDirectory.Buckets()) {
      continue;
    }
    const bool stillOwned = mContext.OwnerOf(bucket) == aRequest.mOwner;
    if (stillOwned && aRequest.mEpoch <= mContext.Epoch()) {
      answer.mBuckets.push_back({bucket, TransferStatus::Stale, "", {}});
      continue;
    }
    std::vector<DirectoryEntry> flows;
    for (const FlowId flow : kept->mFlows) {
      if (BucketOf(flow, kept->mDirectory.Buckets()) == bucket) {
        flows.push_back({flow, aRequest.mOwner});
      }
    }
    answer.mBuckets.push_back(TransferBucketTo(
      kept->mDirectory, bucket, {aRequest.mRequester, aRequest.mIncarnation}, flows));
    if (answer.mBuckets.back().mStatus == TransferStatus::Complete) {
      complete.push_back(bucket);
    }
  }
  if (mRecords != nullptr && !complete.empty()) {
    answer.mRecords = mRecords->Export(complete, aRequest.mRequester);
  }
  return answer;
}

bool BackupRole::OnDirectoryUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow,
                                   FlowActions& aOut)
{
  KeptState* kept = FindKeptState(aUpdate.mOwner);
  if (kept == nullptr || kept->mDirectory.Buckets() == 0) {
    return false;
  }
  if (kept->mFetchedBy != 0) {
    ForwardUpdate(kept->mPreviousBackup.empty() ? aUpdate.mOwner : kept->mPreviousBackup, aUpdate,
                  aOut);
    return true;
  }
  for (const FlowId flow : aUpdate.mHeld) {
    kept->mDirectory.Record(flow, aUpdate.mHolder, aNow);
  }
  for (const FlowId flow : aUpdate.mEnded) {
    kept->mDirectory.RemoveHolder(flow, aUpdate.mHolder, aNow);
  }
  return true;
}

KeptState* BackupRole::FindKeptState(const std::string& aMember)
{
  const auto found = mKeptStates.find(aMember);
  return found == mKeptStates.end() ? nullptr : &found->second;
}

std::vector<DirectoryEntry> BackupRole::HeldFlows(std::span<const std::uint32_t> aBuckets) const
{
  std::vector<DirectoryEntry> flows;
  const std::set<std::uint32_t> wanted(aBuckets.begin(), aBuckets.end());
  for (const auto& [member, state] : mKeptStates) {
    for (const FlowId flow : state.mFlows) {
      if (state.mFetchedBy == 0 && state.mDirectory.Buckets() > 0 &&
          wanted.contains(BucketOf(flow, state.mDirectory.Buckets()))) {
        flows.push_back({flow, member});
      }
    }
  }
  return flows;
}

std::vector<StateHandover> BackupRole::Export(const std::string& aBackup) const
{
  std::vector<StateHandover> states;
  for (const auto& [member, state] : mKeptStates) {
    if (state.mFetchedBy == 0) {
      states.push_back(state.mHandover);
      states.back().mSenderIncarnation = mContext.mSettings.mIncarnation;
      states.back().mDirectory = ExportDirectory(state.mDirectory);
      if (mRecords != nullptr) {
        states.back().mRecords = mRecords->Export(CompleteBuckets(state.mDirectory), aBackup);
      }
    }
  }
  return states;
}

void BackupRole::Tick(TimePoint aNow)
{
  std::erase_if(mKeptStates, [&](const auto& aEntry) { return aNow > aEntry.second.mExpiresAt; });
}

} // namespace dandelionslip
