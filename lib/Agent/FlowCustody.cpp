// Taking over, using and giving back the state of restarting agents.
#include "dandelionslip/Agent/FlowCustody.h"

#include "BucketExport.h"
#include "dandelionslip/Route/FlowHash.h"

#include <algorithm>

namespace dandelionslip {

FlowCustody::FlowCustody(FlowContext& aContext, BucketRecords* aRecords)
  : mContext(aContext)
  , mRecords(aRecords)
{
}

void FlowCustody::Add(const std::string& aFrom, const Handover& aState, TimePoint aNow)
{
  Custody custody;
  custody.mState = aState;
  custody.mDirectory = ImportDirectory(aState.mDirectory, mContext.mTable.Buckets(), aNow);
  custody.mVia = aFrom == aState.mMember ? "" : aFrom;
  custody.mSender = aFrom;
  custody.mKeepUntil = aNow + mContext.mSettings.mCustodyTime;
  for (const FlowState& flow : aState.mFlows) {
    custody.mFlows.insert(flow.mFlow);
  }
  if (mRecords != nullptr) {
    mRecords->Import(CompleteBuckets(custody.mDirectory), aState.mRecords);
  }
  mCustody[aState.mMember] = std::move(custody);
}

void FlowCustody::OnHandover(const std::string& aFrom, const Handover& aState, TimePoint aNow,
                             FlowActions& aOut)
{
  if (aState.mServiceId != mContext.mTable.Id()) {
    return;
  }
  const Custody* held = Find(aState.mMember);
  if (held != nullptr && held->mState.mIncarnation > aState.mIncarnation) {
    return;
  }
  // A repeated handover is only acknowledged; the directory may have changed since the first.
  const bool repeated = held != nullptr && held->mState.mIncarnation == aState.mIncarnation &&
                        held->mSender == aFrom &&
                        held->mState.mSenderIncarnation >= aState.mSenderIncarnation;
  if (!repeated) {
    Add(aFrom, aState, aNow);
  }
  aOut.emplace_back(SendPeerMessage{
    aFrom, HandoverAck{mContext.mSettings.mName, aState.mMember, aState.mIncarnation}});
}

Handover FlowCustody::Return(Custody& aCustody, std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aCustody.mReturnedTo == 0) {
    aCustody.mReturnedTo = aIncarnation;
    aCustody.mKeepUntil = aNow + mContext.mSettings.mCustodyTime;
    aCustody.mState.mDirectory = ExportDirectory(aCustody.mDirectory);
    if (mRecords != nullptr) {
      aCustody.mState.mRecords =
        mRecords->Export(CompleteBuckets(aCustody.mDirectory), aCustody.mState.mMember);
    }
  }
  return aCustody.mState;
}

void FlowCustody::OnResumeRequest(const ResumeRequest& aRequest, TimePoint aNow, FlowActions& aOut)
{
  Custody* held = Find(aRequest.mMember);
  if (held != nullptr && held->mReturnedTo != 0 && !held->mVia.empty()) {
    aOut.emplace_back(SendPeerMessage{held->mVia, aRequest});
    return;
  }
  ResumeAnswer answer{mContext.mSettings.mName, aRequest.mIncarnation, std::nullopt, {}};
  if (held != nullptr && (held->mReturnedTo == 0 || held->mReturnedTo == aRequest.mIncarnation)) {
    answer.mState = Return(*held, aRequest.mIncarnation, aNow);
  }
  for (auto& [member, custody] : mCustody) {
    if (custody.mVia == aRequest.mMember &&
        (custody.mReturnedTo == 0 || custody.mReturnedTo == aRequest.mIncarnation)) {
      answer.mCustody.push_back(Return(custody, aRequest.mIncarnation, aNow));
    }
  }
  aOut.emplace_back(SendPeerMessage{aRequest.mMember, std::move(answer)});
}

std::optional<TransferAnswer> FlowCustody::Answer(const TransferRequest& aRequest)
{
  Custody* held = Find(aRequest.mOwner);
  if (held == nullptr || held->mReturnedTo != 0) {
    return std::nullopt;
  }
  TransferAnswer answer{aRequest.mOwner, mContext.mTable.Id(), aRequest.mEpoch, {}, {}};
  std::vector<std::uint32_t> complete;
  for (const std::uint32_t bucket : aRequest.mBuckets) {
    if (bucket >= held->mDirectory.Buckets()) {
      continue;
    }
    const bool kept = mContext.OwnerOf(bucket) == aRequest.mOwner;
    if (kept && aRequest.mEpoch <= mContext.Epoch()) {
      answer.mBuckets.push_back({bucket, TransferStatus::Stale, "", {}});
      continue;
    }
    std::vector<DirectoryEntry> flows;
    for (const FlowId flow : held->mFlows) {
      if (BucketOf(flow, held->mDirectory.Buckets()) == bucket) {
        flows.push_back({flow, aRequest.mOwner});
      }
    }
    answer.mBuckets.push_back(
      GiveBucket(held->mDirectory, bucket, {aRequest.mRequester, aRequest.mIncarnation}, flows));
    if (answer.mBuckets.back().mStatus == TransferStatus::Complete) {
      complete.push_back(bucket);
    }
  }
  if (mRecords != nullptr && !complete.empty()) {
    answer.mRecords = mRecords->Export(complete, aRequest.mRequester);
  }
  return answer;
}

bool FlowCustody::OnUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow, FlowActions& aOut)
{
  Custody* held = Find(aUpdate.mOwner);
  if (held == nullptr || held->mDirectory.Buckets() == 0) {
    return false;
  }
  if (held->mReturnedTo != 0) {
    PassUpdateOn(held->mVia.empty() ? aUpdate.mOwner : held->mVia, aUpdate, aOut);
    return true;
  }
  for (const FlowId flow : aUpdate.mHeld) {
    held->mDirectory.Record(flow, aUpdate.mHolder, aNow);
  }
  for (const FlowId flow : aUpdate.mEnded) {
    held->mDirectory.Forget(flow, aUpdate.mHolder, aNow);
  }
  return true;
}

Custody* FlowCustody::Find(const std::string& aMember)
{
  const auto found = mCustody.find(aMember);
  return found == mCustody.end() ? nullptr : &found->second;
}

std::vector<DirectoryEntry> FlowCustody::HeldFlows(std::span<const std::uint32_t> aBuckets) const
{
  std::vector<DirectoryEntry> flows;
  const std::set<std::uint32_t> wanted(aBuckets.begin(), aBuckets.end());
  for (const auto& [member, custody] : mCustody) {
    for (const FlowId flow : custody.mFlows) {
      if (custody.mReturnedTo == 0 && custody.mDirectory.Buckets() > 0 &&
          wanted.contains(BucketOf(flow, custody.mDirectory.Buckets()))) {
        flows.push_back({flow, member});
      }
    }
  }
  return flows;
}

std::vector<Handover> FlowCustody::Export(const std::string& aBackup) const
{
  std::vector<Handover> states;
  for (const auto& [member, custody] : mCustody) {
    if (custody.mReturnedTo == 0) {
      states.push_back(custody.mState);
      states.back().mSenderIncarnation = mContext.mSettings.mIncarnation;
      states.back().mDirectory = ExportDirectory(custody.mDirectory);
      if (mRecords != nullptr) {
        states.back().mRecords = mRecords->Export(CompleteBuckets(custody.mDirectory), aBackup);
      }
    }
  }
  return states;
}

void FlowCustody::Tick(TimePoint aNow)
{
  std::erase_if(mCustody, [&](const auto& aEntry) { return aNow > aEntry.second.mKeepUntil; });
}

} // namespace dandelionslip
