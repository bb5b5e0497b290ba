// Transfer of single buckets, and export and import of directories.
#pragma once

#include "dandelionslip/Agent/BucketDirectory.h"

#include <string>
#include <vector>

namespace dandelionslip {

/// The process that a bucket is transferred to.
struct NewBucketOwner
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
};

/// Transfers a bucket to a new owner and returns the answer to its request. aHeld are flows of the
/// bucket that the directory's owner holds itself. A repeated request gets the status of the first
/// answer.
BucketTransfer TransferBucketTo(BucketDirectory& aDirectory, std::uint32_t aBucket,
                                const NewBucketOwner& aNewOwner,
                                const std::vector<DirectoryEntry>& aHeld);

/// The whole directory for a StateHandover.
std::vector<BucketTransfer> ExportDirectory(const BucketDirectory& aDirectory);

/// Restores a directory of aBuckets buckets from a StateHandover.
BucketDirectory ImportDirectory(const std::vector<BucketTransfer>& aTransfers,
                                std::uint32_t aBuckets, TimePoint aNow);

/// The buckets whose directory is complete.
std::vector<std::uint32_t> CompleteBuckets(const BucketDirectory& aDirectory);

} // namespace dandelionslip
