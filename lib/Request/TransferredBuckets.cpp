// Reads the bucket list of hand-off messages.
#include "dandelionslip/Request/TransferredBuckets.h"

#include "RecordWire.h"

#include <algorithm>

namespace dandelionslip {

Result<std::vector<TransferredBucket>> ListTransferredBuckets(const Json& aHandoff,
                                                              std::string_view aPeer)
{
  const auto table = FromJson<TableWire>(aHandoff, aPeer);
  if (!table) {
    return table.as_failure();
  }
  std::vector<TransferredBucket> buckets;
  buckets.reserve(table.value().mBuckets.size());
  for (const BucketWire& wire : table.value().mBuckets) {
    buckets.push_back({wire.mBucket, wire.mGeneration});
  }
  return buckets;
}

} // namespace dandelionslip
