// The protocol by which bucket directories move to new owners.
#include "dandelionslip/Agent/BucketTransferManager.h"

#include "BucketExport.h"
#include "dandelionslip/Route/FlowHash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Buckets examined for expired entries in each tick.
constexpr std::uint32_t kExpiryBuckets = 64;

// Whether both tables are of the same service with the same number of buckets. The owners in aOld
// are then the previous owners.
bool HasSameBucketCount(const ServiceTable& aOld, const ServiceTable& aNew)
{
  return aOld.Id() == aNew.Id() && aOld.Generation() > 0 && aOld.Buckets() == aNew.Buckets();
}

} // namespace

BucketTransferManager::BucketTransferManager(FlowContext& aContext, BackupRole& aBackupRole,
                                             BucketRecords* aRecords)
  : mContext(aContext)
  , mBackupRole(aBackupRole)
  , mRecords(aRecords)
{
}

void BucketTransferManager::Reset()
{
  mDirectory = BucketDirectory(mContext.mTable.Buckets());
}

void BucketTransferManager::Restore(const StateHandover& aState, TimePoint aNow)
{
  mDirectory = ImportDirectory(aState.mDirectory, mContext.mTable.Buckets(), aNow);
  if (mRecords != nullptr) {
    mRecords->Import(CompleteBuckets(mDirectory), aState.mRecords);
  }
}

bool BucketTransferManager::IsComplete() const
{
  for (std::uint32_t bucket = 0; bucket < mDirectory.Buckets(); ++bucket) {
    if (mContext.Owns(bucket) && mDirectory.At(bucket).mState != BucketState::Complete) {
      return false;
    }
  }
  return true;
}

std::vector<std::string> BucketTransferManager::PreviousOwners(const ServiceTable& aOld) const
{
  const ServiceTable& table = mContext.mTable;
  if (!HasSameBucketCount(aOld, table)) {
    // mGenerations is ordered from newest to oldest.
    const ServiceView* service =
      FindServiceView(mContext.mView, mContext.mConfiguration, mContext.mSettings.mServiceName);
    return service == nullptr || service->mGenerations.size() < 2
             ? std::vector<std::string>(table.Buckets())
             : OwnerNamesByBucket(service->mGenerations[1], table);
  }
  std::vector<std::string> names;
  for (std::uint32_t bucket = 0; bucket < aOld.Buckets(); ++bucket) {
    const MemberIndex owner = aOld.Assignment().Owner(bucket);
    names.push_back(owner == kNoMember ? std::string() : aOld.Members()[owner].mName);
  }
  return names;
}

void BucketTransferManager::OnTable(const ServiceTable& aOld, bool aOwnershipUncertain,
                                    TimePoint aNow, FlowActions& aOut)
{
  if (mDirectory.Buckets() != mContext.mTable.Buckets()) {
    Reset();
  }
  const std::vector<std::string> previous = PreviousOwners(aOld);
  const bool sameBuckets = HasSameBucketCount(aOld, mContext.mTable);
  const auto& members = mContext.mTable.Members();
  const bool anyDataCentreOut =
    std::any_of(members.begin(), members.end(),
                [](const TableMember& aMember) { return aMember.mDataCentreOut; });
  for (std::uint32_t bucket = 0; bucket < mDirectory.Buckets(); ++bucket) {
    if (!anyDataCentreOut) {
      mDirectory.At(bucket).mUnknownFlowReason = RefusalReason::UnknownFlow;
    }
    if (mContext.Owns(bucket)) {
      UpdateOwned(bucket, previous[bucket], sameBuckets, aOwnershipUncertain, aNow);
    }
  }
  SendRequests(aNow, aOut);
}

void BucketTransferManager::UpdateOwned(std::uint32_t aBucket, const std::string& aPrevious,
                                        bool aSameBuckets, bool aOwnershipUncertain, TimePoint aNow)
{
  Bucket& bucket = mDirectory.At(aBucket);
  switch (bucket.mState) {
    case BucketState::Complete:
      if (aOwnershipUncertain) {
        StartRebuild(aBucket, aNow);
      } else if (aSameBuckets && !mContext.IsSelf(aPrevious)) {
        // Another agent has owned the bucket since. It never requested the directory, but it may
        // have admitted flows.
        bucket.mHasCompleteCopy = true;
        StartTransfer(aBucket, aPrevious, aNow);
      }
      return;
    case BucketState::Pending:
      if (mContext.FindReachableMember(bucket.mTransferPartner) == nullptr) {
        StartTransfer(aBucket, bucket.mTransferPartner, aNow);
      }
      return;
    case BucketState::Rebuilding:
      UpdateRebuild(bucket, aNow);
      return;
    case BucketState::NeverOwned:
      mDirectory.PrepareOwnership(aBucket, aNow);
      StartTransfer(aBucket, aPrevious, aNow);
      return;
    case BucketState::Transferred:
      mDirectory.PrepareOwnership(aBucket, aNow);
      StartTransfer(aBucket, bucket.mTransferPartner, aNow);
      return;
  }
}

void BucketTransferManager::StartTransfer(std::uint32_t aBucket, const std::string& aPrevious,
                                          TimePoint aNow)
{
  Bucket& bucket = mDirectory.At(aBucket);
  const TableMember* previous = mContext.FindMember(aPrevious);
  const bool isNew = aPrevious.empty() && !mResumed;
  bucket.mUnknownFlowReason = previous != nullptr && previous->mDataCentreOut
                                ? RefusalReason::DataCentreOut
                                : RefusalReason::UnknownFlow;
  if (previous == nullptr || previous->mExcluded || mContext.IsSelf(aPrevious)) {
    StartRebuild(aBucket, aNow, isNew);
    return;
  }
  bucket.mState = BucketState::Pending;
  bucket.mTransferPartner = aPrevious;
  bucket.mRequestedFrom = {aPrevious};
  bucket.mNextRequest = aNow;
  bucket.mSince = mContext.Epoch();
}

void BucketTransferManager::StartRebuild(std::uint32_t aBucket, TimePoint aNow, bool aNewBucket)
{
  Bucket& bucket = mDirectory.At(aBucket);
  bucket.mState = BucketState::Rebuilding;
  bucket.mTransferPartner.clear();
  bucket.mHasCompleteCopy = false;
  bucket.mWaitingFor.clear();
  bucket.mNextRequest = aNow;
  bucket.mSince = mContext.Epoch();
  for (const TableMember& member : mContext.mTable.Members()) {
    const TableMember* acting = mContext.ActingFor(member.mName);
    if (acting == &member && !mContext.IsSelf(member.mName)) {
      bucket.mWaitingFor.insert(member.mName);
    }
  }
  MergeFlows(mBackupRole.HeldFlows(std::span(&aBucket, 1)), aNow);
  (aNewBucket ? mNewBuckets : mBucketsWithoutRecords).push_back(aBucket);
  FinishRebuildIfAnswered(bucket);
}

// Members that have left need not answer; the backup of a restarting member answers for it.
void BucketTransferManager::UpdateRebuild(Bucket& aBucket, TimePoint aNow)
{
  std::set<std::string> waitingFor;
  for (const std::string& name : aBucket.mWaitingFor) {
    const TableMember* acting = mContext.ActingFor(name);
    if (acting != nullptr && !mContext.IsSelf(acting->mName)) {
      waitingFor.insert(acting->mName);
    }
  }
  if (waitingFor != aBucket.mWaitingFor) {
    aBucket.mWaitingFor = std::move(waitingFor);
    aBucket.mNextRequest = aNow;
  }
  FinishRebuildIfAnswered(aBucket);
}

void BucketTransferManager::FinishRebuildIfAnswered(Bucket& aBucket)
{
  if (aBucket.mState == BucketState::Rebuilding && aBucket.mWaitingFor.empty()) {
    aBucket.mState = BucketState::Complete;
  }
}

void BucketTransferManager::SendRequests(TimePoint aNow, FlowActions& aOut)
{
  SendTransferRequests(aNow, aOut);
  SendHeldFlowsQueries(aNow, aOut);
  InitialiseRecords();
}

void BucketTransferManager::InitialiseRecords()
{
  if (mRecords != nullptr && !mBucketsWithoutRecords.empty()) {
    mRecords->StartWithoutRecords(mBucketsWithoutRecords);
  }
  if (mRecords != nullptr && !mNewBuckets.empty()) {
    mRecords->StartAsFirstOwner(mNewBuckets);
  }
  mBucketsWithoutRecords.clear();
  mNewBuckets.clear();
}

void BucketTransferManager::SendTransferRequests(TimePoint aNow, FlowActions& aOut)
{
  std::map<std::string, std::vector<std::uint32_t>> requests;
  for (std::uint32_t index = 0; index < mDirectory.Buckets(); ++index) {
    Bucket& bucket = mDirectory.At(index);
    if (bucket.mState == BucketState::Pending && bucket.mNextRequest <= aNow &&
        mContext.Owns(index)) {
      bucket.mNextRequest = aNow + mContext.mSettings.mRetryInterval;
      requests[bucket.mTransferPartner].push_back(index);
    }
  }
  for (auto& [owner, buckets] : requests) {
    const TableMember* acting = mContext.ActingFor(owner);
    if (acting == nullptr) {
      continue;
    }
    TransferRequest request{mContext.mSettings.mName,
                            mContext.mSettings.mIncarnation,
                            owner,
                            mContext.mTable.Id(),
                            mContext.Epoch(),
                            std::move(buckets)};
    if (!mContext.IsSelf(acting->mName)) {
      aOut.emplace_back(SendPeerMessage{acting->mName, std::move(request)});
    } else if (const auto answer = mBackupRole.AnswerTransferRequest(request)) {
      OnTransferAnswer(*answer, aNow, aOut);
    }
  }
}

void BucketTransferManager::SendHeldFlowsQueries(TimePoint aNow, FlowActions& aOut)
{
  std::map<std::string, std::vector<std::uint32_t>> queries;
  for (std::uint32_t index = 0; index < mDirectory.Buckets(); ++index) {
    Bucket& bucket = mDirectory.At(index);
    if (bucket.mState != BucketState::Rebuilding || bucket.mNextRequest > aNow ||
        !mContext.Owns(index)) {
      continue;
    }
    bucket.mNextRequest = aNow + mContext.mSettings.mRetryInterval;
    for (const std::string& member : bucket.mWaitingFor) {
      queries[member].push_back(index);
    }
  }
  for (auto& [member, buckets] : queries) {
    aOut.emplace_back(
      SendPeerMessage{member, HeldFlowsQuery{mContext.mSettings.mName, mContext.mTable.Id(),
                                             mContext.Epoch(), std::move(buckets)}});
  }
}

bool BucketTransferManager::MayTransfer(std::uint32_t aBucket, const TableEpoch& aEpoch) const
{
  return !mContext.Owns(aBucket) || mContext.Epoch() < aEpoch;
}

void BucketTransferManager::OnTransferRequest(const TransferRequest& aRequest, FlowActions& aOut)
{
  if (aRequest.mServiceId != mContext.mTable.Id()) {
    return;
  }
  if (!mContext.IsSelf(aRequest.mOwner)) {
    if (auto answer = mBackupRole.AnswerTransferRequest(aRequest)) {
      aOut.emplace_back(SendPeerMessage{aRequest.mRequester, std::move(*answer)});
    }
    return;
  }
  TransferAnswer answer{aRequest.mOwner, aRequest.mServiceId, aRequest.mEpoch, {}, {}};
  const auto held = mContext.HeldFlows(aRequest.mBuckets);
  std::vector<std::uint32_t> complete;
  for (const std::uint32_t bucket : aRequest.mBuckets) {
    if (bucket >= mDirectory.Buckets()) {
      continue;
    }
    if (!MayTransfer(bucket, aRequest.mEpoch)) {
      answer.mBuckets.push_back({bucket, TransferStatus::Stale, "", {}});
      continue;
    }
    answer.mBuckets.push_back(TransferBucketTo(
      mDirectory, bucket, {aRequest.mRequester, aRequest.mIncarnation}, held.at(bucket)));
    if (answer.mBuckets.back().mStatus == TransferStatus::Complete) {
      complete.push_back(bucket);
    }
  }
  if (mRecords != nullptr && !complete.empty()) {
    answer.mRecords = mRecords->Export(complete, aRequest.mRequester);
  }
  aOut.emplace_back(SendPeerMessage{aRequest.mRequester, std::move(answer)});
}

void BucketTransferManager::OnTransferAnswer(const TransferAnswer& aAnswer, TimePoint aNow,
                                             FlowActions& aOut)
{
  if (aAnswer.mServiceId != mContext.mTable.Id()) {
    return;
  }
  std::vector<std::uint32_t> complete;
  for (const BucketTransfer& transfer : aAnswer.mBuckets) {
    if (transfer.mBucket >= mDirectory.Buckets()) {
      continue;
    }
    const Bucket& bucket = mDirectory.At(transfer.mBucket);
    if (bucket.mState == BucketState::Pending && bucket.mTransferPartner == aAnswer.mOwner &&
        aAnswer.mEpoch >= bucket.mSince) {
      ApplyTransfer(transfer, aNow, aOut);
      if (transfer.mStatus == TransferStatus::Complete) {
        complete.push_back(transfer.mBucket);
      }
    }
  }
  if (mRecords != nullptr && !complete.empty()) {
    mRecords->Import(complete, aAnswer.mRecords);
  }
  InitialiseRecords();
}

void BucketTransferManager::ApplyTransfer(const BucketTransfer& aTransfer, TimePoint aNow,
                                          FlowActions& aOut)
{
  Bucket& bucket = mDirectory.At(aTransfer.mBucket);
  MergeFlows(aTransfer.mFlows, aNow);
  switch (aTransfer.mStatus) {
    case TransferStatus::Complete:
      bucket.mState = BucketState::Complete;
      bucket.mHasCompleteCopy = false;
      return;
    case TransferStatus::Partial:
      RequestFromNext(aTransfer.mBucket, aTransfer.mNext, aNow);
      return;
    case TransferStatus::Unknown:
      StartRebuild(aTransfer.mBucket, aNow);
      return;
    case TransferStatus::Stale:
      bucket.mNextRequest = aNow + mContext.mSettings.mRetryInterval;
      aOut.emplace_back(FetchView{});
      return;
  }
}

void BucketTransferManager::RequestFromNext(std::uint32_t aBucket, const std::string& aNext,
                                            TimePoint aNow)
{
  Bucket& bucket = mDirectory.At(aBucket);
  if (mContext.IsSelf(aNext) && bucket.mHasCompleteCopy) {
    bucket.mState = BucketState::Complete;
    bucket.mHasCompleteCopy = false;
    return;
  }
  if (mContext.IsSelf(aNext) || bucket.mRequestedFrom.contains(aNext) ||
      mContext.FindReachableMember(aNext) == nullptr) {
    StartRebuild(aBucket, aNow);
    return;
  }
  bucket.mTransferPartner = aNext;
  bucket.mRequestedFrom.insert(aNext);
  bucket.mNextRequest = aNow;
}

void BucketTransferManager::MergeFlows(const std::vector<DirectoryEntry>& aFlows, TimePoint aNow)
{
  for (const DirectoryEntry& entry : aFlows) {
    if (!mContext.IsSelf(entry.mHolder) && mDirectory.Buckets() > 0) {
      mDirectory.Record(entry.mFlow, entry.mHolder, aNow);
    }
  }
}

void BucketTransferManager::OnHeldFlowsQuery(const HeldFlowsQuery& aQuery, FlowActions& aOut)
{
  if (aQuery.mServiceId != mContext.mTable.Id()) {
    return;
  }
  HeldFlowsAnswer answer{mContext.mSettings.mName, aQuery.mServiceId, aQuery.mEpoch, {}, {}};
  const auto held = mContext.HeldFlows(aQuery.mBuckets);
  for (const std::uint32_t bucket : aQuery.mBuckets) {
    if (bucket >= mDirectory.Buckets() || !MayTransfer(bucket, aQuery.mEpoch)) {
      continue;
    }
    // From here on the requester owns the bucket, even if this agent's older table says otherwise.
    if (mDirectory.At(bucket).mState != BucketState::NeverOwned || mContext.Owns(bucket)) {
      // With incarnation 0, a later TransferRequest of the requester does not count as repeated.
      TransferBucketTo(mDirectory, bucket, {aQuery.mRequester, 0}, {});
    }
    answer.mBuckets.push_back(bucket);
    answer.mFlows.insert(answer.mFlows.end(), held.at(bucket).begin(), held.at(bucket).end());
  }
  const auto keptFlows = mBackupRole.HeldFlows(answer.mBuckets);
  answer.mFlows.insert(answer.mFlows.end(), keptFlows.begin(), keptFlows.end());
  aOut.emplace_back(SendPeerMessage{aQuery.mRequester, std::move(answer)});
}

void BucketTransferManager::OnHeldFlowsAnswer(const HeldFlowsAnswer& aAnswer, TimePoint aNow)
{
  if (aAnswer.mServiceId != mContext.mTable.Id()) {
    return;
  }
  MergeFlows(aAnswer.mFlows, aNow);
  for (const std::uint32_t index : aAnswer.mBuckets) {
    if (index >= mDirectory.Buckets()) {
      continue;
    }
    Bucket& bucket = mDirectory.At(index);
    if (bucket.mState == BucketState::Rebuilding && aAnswer.mEpoch >= bucket.mSince) {
      bucket.mWaitingFor.erase(aAnswer.mMember);
      FinishRebuildIfAnswered(bucket);
    }
  }
}

void BucketTransferManager::OnDirectoryUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow,
                                              FlowActions& aOut)
{
  if (aUpdate.mServiceId != mContext.mTable.Id() || mDirectory.Buckets() == 0 ||
      (!mContext.IsSelf(aUpdate.mOwner) && mBackupRole.OnDirectoryUpdate(aUpdate, aNow, aOut))) {
    return;
  }
  std::map<std::string, DirectoryUpdate> forwarded;
  const auto apply = [&](FlowId aFlow, bool aHeld) {
    const std::uint32_t index = BucketOf(aFlow, mDirectory.Buckets());
    const Bucket& bucket = mDirectory.At(index);
    if (aHeld) {
      mDirectory.Record(aFlow, aUpdate.mHolder, aNow);
    } else {
      mDirectory.RemoveHolder(aFlow, aUpdate.mHolder, aNow);
    }
    const std::string& owner =
      bucket.mState == BucketState::Transferred ? bucket.mTransferPartner : mContext.OwnerOf(index);
    if (!mContext.IsSelf(owner) && owner != aUpdate.mHolder) {
      auto& flows = aHeld ? forwarded[owner].mHeld : forwarded[owner].mEnded;
      flows.push_back(aFlow);
    }
  };
  std::for_each(aUpdate.mHeld.begin(), aUpdate.mHeld.end(),
                [&](FlowId aFlow) { apply(aFlow, true); });
  std::for_each(aUpdate.mEnded.begin(), aUpdate.mEnded.end(),
                [&](FlowId aFlow) { apply(aFlow, false); });
  for (auto& [owner, update] : forwarded) {
    const TableMember* acting = mContext.ActingFor(owner);
    if (acting == nullptr || mContext.IsSelf(acting->mName) ||
        aUpdate.mForwards >= kMaxUpdateForwards) {
      continue;
    }
    update.mHolder = aUpdate.mHolder;
    update.mOwner = owner;
    update.mServiceId = aUpdate.mServiceId;
    update.mForwards = aUpdate.mForwards + 1;
    aOut.emplace_back(SendPeerMessage{acting->mName, std::move(update)});
  }
}

void BucketTransferManager::Tick(TimePoint aNow, FlowActions& aOut)
{
  SendRequests(aNow, aOut);
  if (const ServiceEntry* entry =
        mContext.mConfiguration.FindService(mContext.mSettings.mServiceName)) {
    // Holders confirm their flows four times within the idle timeout, so an entry that was not
    // confirmed for the whole timeout is outdated.
    mDirectory.Expire(aNow, entry->mSpec.mFlowIdleTimeout, kExpiryBuckets);
  }
}

} // namespace dandelionslip
