// The request records of buckets, as far as bucket hand-off is concerned.
#pragma once

#include "dandelionslip/Support/Json.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <span>
#include <string>

namespace dandelionslip {

/// Moves request records with their buckets. Implemented by the request records.
class BucketRecords
{
public:
  virtual ~BucketRecords() = default;

  /// Takes the records of the buckets out for their new owner; from here on this agent decides
  /// about no new request in them. The same buckets may be exported again to the same owner when an
  /// answer was lost, and then give the same records.
  virtual Json Export(std::span<const std::uint32_t> aBuckets, const std::string& aNewOwner) = 0;

  /// This agent owns the buckets from now on, with the records that the previous owner exported.
  /// Buckets whose records are missing start without records.
  virtual void Import(std::span<const std::uint32_t> aBuckets, const Json& aRecords) = 0;

  /// This agent is the first owner that the buckets have ever had.
  virtual void StartAsFirstOwner(std::span<const std::uint32_t> aBuckets) = 0;

  /// The records of the buckets are lost; this agent owns them from now on.
  virtual void StartWithoutRecords(std::span<const std::uint32_t> aBuckets) = 0;
};

} // namespace dandelionslip
