// Transfer of single buckets, and export and import of directories.
#include "BucketExport.h"

namespace dandelionslip {

namespace {

// Stores in the bucket the status and next member for the first answer to a transfer request.
void SetTransferStatus(Bucket& aBucket)
{
  switch (aBucket.mState) {
    case BucketState::Complete:
      aBucket.mTransferStatus = TransferStatus::Complete;
      aBucket.mTransferNext.clear();
      return;
    case BucketState::Pending:
    case BucketState::Transferred:
      aBucket.mTransferStatus = TransferStatus::Partial;
      aBucket.mTransferNext = aBucket.mTransferPartner;
      return;
    case BucketState::NeverOwned:
    case BucketState::Rebuilding:
      aBucket.mTransferStatus = TransferStatus::Unknown;
      aBucket.mTransferNext.clear();
      return;
  }
}

BucketTransfer ExportBucket(const BucketDirectory& aDirectory, std::uint32_t aBucket)
{
  const Bucket& bucket = aDirectory.At(aBucket);
  BucketTransfer transfer{aBucket, TransferStatus::Unknown, "", aDirectory.Entries(aBucket)};
  if (bucket.mState == BucketState::Complete) {
    transfer.mStatus = TransferStatus::Complete;
  } else if (bucket.mState == BucketState::Transferred) {
    transfer.mStatus = TransferStatus::Partial;
    transfer.mNext = bucket.mTransferPartner;
  } else if (bucket.mState == BucketState::Pending) {
    transfer.mNext = bucket.mTransferPartner;
  }
  return transfer;
}

void ImportBucket(Bucket& aBucket, const BucketTransfer& aTransfer)
{
  aBucket.mTransferPartner = aTransfer.mNext;
  if (aTransfer.mStatus == TransferStatus::Complete) {
    aBucket.mState = BucketState::Complete;
  } else if (aTransfer.mStatus == TransferStatus::Partial) {
    aBucket.mState = BucketState::Transferred;
    // The handover does not contain the answer that transferred the bucket. Status Unknown makes a
    // repeated request lead to a rebuild, which is always correct.
    aBucket.mTransferStatus = TransferStatus::Unknown;
  } else {
    aBucket.mState = aTransfer.mNext.empty() ? BucketState::Rebuilding : BucketState::Pending;
    aBucket.mRequestedFrom = {aTransfer.mNext};
  }
}

} // namespace

BucketTransfer TransferBucketTo(BucketDirectory& aDirectory, std::uint32_t aBucket,
                                const NewBucketOwner& aNewOwner,
                                const std::vector<DirectoryEntry>& aHeld)
{
  Bucket& bucket = aDirectory.At(aBucket);
  const bool repeated = bucket.mState == BucketState::Transferred &&
                        bucket.mTransferPartner == aNewOwner.mName &&
                        bucket.mNewOwnerIncarnation == aNewOwner.mIncarnation;
  if (!repeated) {
    SetTransferStatus(bucket);
  }
  for (auto& [flow, holder] : bucket.mHolders) {
    bucket.mHoldersAtTransfer[flow] = std::move(holder);
  }
  bucket.mHolders.clear();
  BucketTransfer transfer{aBucket, bucket.mTransferStatus, bucket.mTransferNext, {}};
  for (const auto& [flow, holder] : bucket.mHoldersAtTransfer) {
    transfer.mFlows.push_back({flow, holder.mName});
  }
  transfer.mFlows.insert(transfer.mFlows.end(), aHeld.begin(), aHeld.end());
  bucket.mState = BucketState::Transferred;
  bucket.mTransferPartner = aNewOwner.mName;
  bucket.mNewOwnerIncarnation = aNewOwner.mIncarnation;
  bucket.mHasCompleteCopy = false;
  bucket.mRequestedFrom.clear();
  bucket.mWaitingFor.clear();
  return transfer;
}

std::vector<BucketTransfer> ExportDirectory(const BucketDirectory& aDirectory)
{
  std::vector<BucketTransfer> transfers;
  for (std::uint32_t bucket = 0; bucket < aDirectory.Buckets(); ++bucket) {
    if (aDirectory.At(bucket).mState != BucketState::NeverOwned) {
      transfers.push_back(ExportBucket(aDirectory, bucket));
    }
  }
  return transfers;
}

BucketDirectory ImportDirectory(const std::vector<BucketTransfer>& aTransfers,
                                std::uint32_t aBuckets, TimePoint aNow)
{
  BucketDirectory directory(aBuckets);
  for (const BucketTransfer& transfer : aTransfers) {
    if (transfer.mBucket < aBuckets) {
      ImportBucket(directory.At(transfer.mBucket), transfer);
      directory.Merge(transfer.mFlows, aNow);
    }
  }
  return directory;
}

std::vector<std::uint32_t> CompleteBuckets(const BucketDirectory& aDirectory)
{
  std::vector<std::uint32_t> complete;
  for (std::uint32_t bucket = 0; bucket < aDirectory.Buckets(); ++bucket) {
    if (aDirectory.At(bucket).mState == BucketState::Complete) {
      complete.push_back(bucket);
    }
  }
  return complete;
}

} // namespace dandelionslip
