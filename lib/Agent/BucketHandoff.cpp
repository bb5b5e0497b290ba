// The hand-off protocol of bucket directories.
#include "dandelionslip/Agent/BucketHandoff.h"

#include "BucketExport.h"
#include "dandelionslip/Route/FlowHash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Buckets examined for old entries in each tick.
constexpr std::uint32_t kExpiryBuckets = 64;

bool IsRestored(const ServiceTable& aOld, const ServiceTable& aNew)
{
  return aOld.Id() == aNew.Id() && aOld.Generation() > 0 && aOld.Buckets() == aNew.Buckets();
}

} // namespace

BucketHandoff::BucketHandoff(FlowContext& aContext, FlowCustody& aCustody, BucketRecords* aRecords)
  : mContext(aContext)
  , mCustody(aCustody)
  , mRecords(aRecords)
{
}

void BucketHandoff::Reset()
{
  mDirectory = BucketDirectory(mContext.mTable.Buckets());
}

void BucketHandoff::Restore(const Handover& aState, TimePoint aNow)
{
  mDirectory = ImportDirectory(aState.mDirectory, mContext.mTable.Buckets(), aNow);
  if (mRecords != nullptr) {
    mRecords->Import(CompleteBuckets(mDirectory), aState.mRecords);
  }
}

bool BucketHandoff::IsComplete() const
{
  for (std::uint32_t bucket = 0; bucket < mDirectory.Buckets(); ++bucket) {
    if (mContext.Owns(bucket) && mDirectory.At(bucket).mState != BucketState::Complete) {
      return false;
    }
  }
  return true;
}

std::vector<std::string> BucketHandoff::PreviousOwners(const ServiceTable& aOld) const
{
  const ServiceTable& table = mContext.mTable;
  if (!IsRestored(aOld, table)) {
    const ServiceView* service =
      FindServiceView(mContext.mView, mContext.mConfiguration, mContext.mSettings.mService);
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

void BucketHandoff::OnTable(const ServiceTable& aOld, bool aDoubtful, TimePoint aNow,
                            FlowActions& aOut)
{
  if (mDirectory.Buckets() != mContext.mTable.Buckets()) {
    Reset();
  }
  const std::vector<std::string> previous = PreviousOwners(aOld);
  const bool followed = IsRestored(aOld, mContext.mTable);
  const auto& members = mContext.mTable.Members();
  const bool anyOut = std::any_of(members.begin(), members.end(), [](const TableMember& aMember) {
    return aMember.mDataCentreOut;
  });
  for (std::uint32_t bucket = 0; bucket < mDirectory.Buckets(); ++bucket) {
    if (!anyOut) {
      mDirectory.At(bucket).mUnknownReason = RefusalReason::UnknownFlow;
    }
    if (mContext.Owns(bucket)) {
      UpdateOwned(bucket, previous[bucket], followed, aDoubtful, aNow);
    }
  }
  Ask(aNow, aOut);
}

void BucketHandoff::UpdateOwned(std::uint32_t aBucket, const std::string& aPrevious, bool aFollowed,
                                bool aDoubtful, TimePoint aNow)
{
  Bucket& bucket = mDirectory.At(aBucket);
  switch (bucket.mState) {
    case BucketState::Complete:
      if (aDoubtful) {
        StartRebuild(aBucket, aNow);
      } else if (aFollowed && !mContext.IsSelf(aPrevious)) {
        // The owner in between never asked for the directory, but it may have admitted flows.
        bucket.mHasBase = true;
        StartFrom(aBucket, aPrevious, aNow);
      }
      return;
    case BucketState::Pending:
      if (mContext.FindReachable(bucket.mPeer) == nullptr) {
        StartFrom(aBucket, bucket.mPeer, aNow);
      }
      return;
    case BucketState::Rebuilding:
      UpdateRebuild(bucket, aNow);
      return;
    case BucketState::NotOwned:
      mDirectory.DropOutdated(aBucket, aNow);
      StartFrom(aBucket, aPrevious, aNow);
      return;
    case BucketState::HandedOff:
      mDirectory.DropOutdated(aBucket, aNow);
      StartFrom(aBucket, bucket.mPeer, aNow);
      return;
  }
}

void BucketHandoff::StartFrom(std::uint32_t aBucket, const std::string& aPrevious, TimePoint aNow)
{
  Bucket& bucket = mDirectory.At(aBucket);
  const TableMember* previous = mContext.Find(aPrevious);
  const bool first = aPrevious.empty() && !mResumed;
  bucket.mUnknownReason = previous != nullptr && previous->mDataCentreOut
                            ? RefusalReason::DataCentreOut
                            : RefusalReason::UnknownFlow;
  if (previous == nullptr || previous->mExcluded || mContext.IsSelf(aPrevious)) {
    StartRebuild(aBucket, aNow, first);
    return;
  }
  bucket.mState = BucketState::Pending;
  bucket.mPeer = aPrevious;
  bucket.mAsked = {aPrevious};
  bucket.mNextAsk = aNow;
  bucket.mSince = mContext.Epoch();
}

void BucketHandoff::StartRebuild(std::uint32_t aBucket, TimePoint aNow, bool aFirst)
{
  Bucket& bucket = mDirectory.At(aBucket);
  bucket.mState = BucketState::Rebuilding;
  bucket.mPeer.clear();
  bucket.mHasBase = false;
  bucket.mWaitingFor.clear();
  bucket.mNextAsk = aNow;
  bucket.mSince = mContext.Epoch();
  for (const TableMember& member : mContext.mTable.Members()) {
    const TableMember* acting = mContext.ActingFor(member.mName);
    if (acting == &member && !mContext.IsSelf(member.mName)) {
      bucket.mWaitingFor.insert(member.mName);
    }
  }
  MergeFlows(mCustody.HeldFlows(std::span(&aBucket, 1)), aNow);
  (aFirst ? mFirstRecords : mLostRecords).push_back(aBucket);
  FinishIfAnswered(bucket);
}

// Members that have gone since need not answer; for members that restart, their custodian does.
void BucketHandoff::UpdateRebuild(Bucket& aBucket, TimePoint aNow)
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
    aBucket.mNextAsk = aNow;
  }
  FinishIfAnswered(aBucket);
}

void BucketHandoff::FinishIfAnswered(Bucket& aBucket)
{
  if (aBucket.mState == BucketState::Rebuilding && aBucket.mWaitingFor.empty()) {
    aBucket.mState = BucketState::Complete;
  }
}

void BucketHandoff::Ask(TimePoint aNow, FlowActions& aOut)
{
  AskPreviousOwners(aNow, aOut);
  AskMembers(aNow, aOut);
  StartRecords();
}

void BucketHandoff::StartRecords()
{
  if (mRecords != nullptr && !mLostRecords.empty()) {
    mRecords->StartWithoutRecords(mLostRecords);
  }
  if (mRecords != nullptr && !mFirstRecords.empty()) {
    mRecords->StartAsFirstOwner(mFirstRecords);
  }
  mLostRecords.clear();
  mFirstRecords.clear();
}

void BucketHandoff::AskPreviousOwners(TimePoint aNow, FlowActions& aOut)
{
  std::map<std::string, std::vector<std::uint32_t>> questions;
  for (std::uint32_t index = 0; index < mDirectory.Buckets(); ++index) {
    Bucket& bucket = mDirectory.At(index);
    if (bucket.mState == BucketState::Pending && bucket.mNextAsk <= aNow && mContext.Owns(index)) {
      bucket.mNextAsk = aNow + mContext.mSettings.mAskInterval;
      questions[bucket.mPeer].push_back(index);
    }
  }
  for (auto& [owner, buckets] : questions) {
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
    } else if (const auto answer = mCustody.Answer(request)) {
      OnAnswer(*answer, aNow, aOut);
    }
  }
}

void BucketHandoff::AskMembers(TimePoint aNow, FlowActions& aOut)
{
  std::map<std::string, std::vector<std::uint32_t>> questions;
  for (std::uint32_t index = 0; index < mDirectory.Buckets(); ++index) {
    Bucket& bucket = mDirectory.At(index);
    if (bucket.mState != BucketState::Rebuilding || bucket.mNextAsk > aNow ||
        !mContext.Owns(index)) {
      continue;
    }
    bucket.mNextAsk = aNow + mContext.mSettings.mAskInterval;
    for (const std::string& member : bucket.mWaitingFor) {
      questions[member].push_back(index);
    }
  }
  for (auto& [member, buckets] : questions) {
    aOut.emplace_back(
      SendPeerMessage{member, HeldFlowsQuery{mContext.mSettings.mName, mContext.mTable.Id(),
                                             mContext.Epoch(), std::move(buckets)}});
  }
}

bool BucketHandoff::MayGive(std::uint32_t aBucket, const TableEpoch& aEpoch) const
{
  return !mContext.Owns(aBucket) || mContext.Epoch() < aEpoch;
}

void BucketHandoff::OnRequest(const TransferRequest& aRequest, FlowActions& aOut)
{
  if (aRequest.mServiceId != mContext.mTable.Id()) {
    return;
  }
  if (!mContext.IsSelf(aRequest.mOwner)) {
    if (auto answer = mCustody.Answer(aRequest)) {
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
    if (!MayGive(bucket, aRequest.mEpoch)) {
      answer.mBuckets.push_back({bucket, TransferStatus::Stale, "", {}});
      continue;
    }
    answer.mBuckets.push_back(GiveBucket(
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

void BucketHandoff::OnAnswer(const TransferAnswer& aAnswer, TimePoint aNow, FlowActions& aOut)
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
    if (bucket.mState == BucketState::Pending && bucket.mPeer == aAnswer.mOwner &&
        aAnswer.mEpoch >= bucket.mSince) {
      TakeBucket(transfer, aNow, aOut);
      if (transfer.mStatus == TransferStatus::Complete) {
        complete.push_back(transfer.mBucket);
      }
    }
  }
  if (mRecords != nullptr && !complete.empty()) {
    mRecords->Import(complete, aAnswer.mRecords);
  }
  StartRecords();
}

void BucketHandoff::TakeBucket(const BucketTransfer& aTransfer, TimePoint aNow, FlowActions& aOut)
{
  Bucket& bucket = mDirectory.At(aTransfer.mBucket);
  MergeFlows(aTransfer.mFlows, aNow);
  switch (aTransfer.mStatus) {
    case TransferStatus::Complete:
      bucket.mState = BucketState::Complete;
      bucket.mHasBase = false;
      return;
    case TransferStatus::Partial:
      FollowChain(aTransfer.mBucket, aTransfer.mNext, aNow);
      return;
    case TransferStatus::Unknown:
      StartRebuild(aTransfer.mBucket, aNow);
      return;
    case TransferStatus::Stale:
      bucket.mNextAsk = aNow + mContext.mSettings.mAskInterval;
      aOut.emplace_back(FetchView{});
      return;
  }
}

void BucketHandoff::FollowChain(std::uint32_t aBucket, const std::string& aNext, TimePoint aNow)
{
  Bucket& bucket = mDirectory.At(aBucket);
  if (mContext.IsSelf(aNext) && bucket.mHasBase) {
    bucket.mState = BucketState::Complete;
    bucket.mHasBase = false;
    return;
  }
  if (mContext.IsSelf(aNext) || bucket.mAsked.contains(aNext) ||
      mContext.FindReachable(aNext) == nullptr) {
    StartRebuild(aBucket, aNow);
    return;
  }
  bucket.mPeer = aNext;
  bucket.mAsked.insert(aNext);
  bucket.mNextAsk = aNow;
}

void BucketHandoff::MergeFlows(const std::vector<DirectoryEntry>& aFlows, TimePoint aNow)
{
  for (const DirectoryEntry& entry : aFlows) {
    if (!mContext.IsSelf(entry.mHolder) && mDirectory.Buckets() > 0) {
      mDirectory.Record(entry.mFlow, entry.mHolder, aNow);
    }
  }
}

void BucketHandoff::OnQuery(const HeldFlowsQuery& aQuery, FlowActions& aOut)
{
  if (aQuery.mServiceId != mContext.mTable.Id()) {
    return;
  }
  HeldFlowsAnswer answer{mContext.mSettings.mName, aQuery.mServiceId, aQuery.mEpoch, {}, {}};
  const auto held = mContext.HeldFlows(aQuery.mBuckets);
  for (const std::uint32_t bucket : aQuery.mBuckets) {
    if (bucket >= mDirectory.Buckets() || !MayGive(bucket, aQuery.mEpoch)) {
      continue;
    }
    // From here on the requester owns the bucket, whatever this agent's table says.
    if (mDirectory.At(bucket).mState != BucketState::NotOwned || mContext.Owns(bucket)) {
      GiveBucket(mDirectory, bucket, {aQuery.mRequester, 0}, {});
    }
    answer.mBuckets.push_back(bucket);
    answer.mFlows.insert(answer.mFlows.end(), held.at(bucket).begin(), held.at(bucket).end());
  }
  const auto custody = mCustody.HeldFlows(answer.mBuckets);
  answer.mFlows.insert(answer.mFlows.end(), custody.begin(), custody.end());
  aOut.emplace_back(SendPeerMessage{aQuery.mRequester, std::move(answer)});
}

void BucketHandoff::OnQueryAnswer(const HeldFlowsAnswer& aAnswer, TimePoint aNow)
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
      FinishIfAnswered(bucket);
    }
  }
}

void BucketHandoff::OnUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow, FlowActions& aOut)
{
  if (aUpdate.mServiceId != mContext.mTable.Id() || mDirectory.Buckets() == 0 ||
      (!mContext.IsSelf(aUpdate.mOwner) && mCustody.OnUpdate(aUpdate, aNow, aOut))) {
    return;
  }
  std::map<std::string, DirectoryUpdate> passedOn;
  const auto apply = [&](FlowId aFlow, bool aHeld) {
    const std::uint32_t index = BucketOf(aFlow, mDirectory.Buckets());
    const Bucket& bucket = mDirectory.At(index);
    if (aHeld) {
      mDirectory.Record(aFlow, aUpdate.mHolder, aNow);
    } else {
      mDirectory.Forget(aFlow, aUpdate.mHolder, aNow);
    }
    const std::string& owner =
      bucket.mState == BucketState::HandedOff ? bucket.mPeer : mContext.OwnerOf(index);
    if (!mContext.IsSelf(owner) && owner != aUpdate.mHolder) {
      auto& flows = aHeld ? passedOn[owner].mHeld : passedOn[owner].mEnded;
      flows.push_back(aFlow);
    }
  };
  std::for_each(aUpdate.mHeld.begin(), aUpdate.mHeld.end(),
                [&](FlowId aFlow) { apply(aFlow, true); });
  std::for_each(aUpdate.mEnded.begin(), aUpdate.mEnded.end(),
                [&](FlowId aFlow) { apply(aFlow, false); });
  for (auto& [owner, update] : passedOn) {
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

void BucketHandoff::Tick(TimePoint aNow, FlowActions& aOut)
{
  Ask(aNow, aOut);
  if (const ServiceEntry* entry =
        mContext.mConfiguration.FindService(mContext.mSettings.mService)) {
    // Holders confirm their flows four times within the idle timeout.
    mDirectory.Expire(aNow, entry->mSpec.mFlowIdleTimeout, kExpiryBuckets);
  }
}

} // namespace dandelionslip
