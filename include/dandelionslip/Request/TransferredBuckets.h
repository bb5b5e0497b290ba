// Lists the buckets of a transfer message.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// One bucket of a transfer message.
struct TransferredBucket
{
  std::uint32_t mBucket = 0;
  std::uint32_t mGeneration = 0;
};

/// Lists the buckets of a message that AgentRequestCore::FreezeAndExport returned. Fails with
/// InvalidInput when the message cannot be decoded.
Result<std::vector<TransferredBucket>> ListTransferredBuckets(const Json& aTransfer,
                                                              std::string_view aPeer);

} // namespace dandelionslip
