// What a hand-off message says about each bucket, for the glue between hand-off and records.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// One bucket of a hand-off message.
struct TransferredBucket
{
  std::uint32_t mBucket = 0;
  std::uint32_t mGeneration = 0;
};

/// Lists the buckets of a message made by AgentRequestCore::FreezeAndExport. Error: InvalidInput.
Result<std::vector<TransferredBucket>> ListTransferredBuckets(const Json& aHandoff,
                                                              std::string_view aPeer);

} // namespace dandelionslip
