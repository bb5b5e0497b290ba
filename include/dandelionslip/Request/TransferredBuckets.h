// Lists the buckets of a bucket transfer message.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// One bucket of a transfer message.
struct HandedBucket
{
  std::uint32_t mBucket = 0;
  std::uint32_t mGeneration = 0;
};

/// Lists the buckets of a message that HomeCore::FreezeAndExport returned. Fails with InvalidInput
/// when the message cannot be decoded.
Result<std::vector<HandedBucket>> ListHandedBuckets(const Json& aTransfer, std::string_view aPeer);

} // namespace dandelionslip
