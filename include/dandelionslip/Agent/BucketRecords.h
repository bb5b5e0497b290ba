// Interface to transfer request records with their buckets.
#pragma once

#include "dandelionslip/Support/Json.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <span>
#include <string>

namespace dandelionslip {

/// Implemented with the records of the request core, so that the flow core can transfer a bucket's
/// directory and request records together.
class BucketRecords
{
public:
  virtual ~BucketRecords() = default;

  /// Returns the records of the buckets for the agent that handles them next; from then on this
  /// agent accepts no new request in them. When an answer was lost, the same buckets may be
  /// exported again to the same agent and give the same records.
  virtual Json Export(std::span<const std::uint32_t> aBuckets, const std::string& aReceiver) = 0;

  /// From now on this agent handles the requests of the buckets, as owner or as backup, with the
  /// records that another agent exported. Buckets whose records are missing start without records.
  virtual void Import(std::span<const std::uint32_t> aBuckets, const Json& aRecords) = 0;

  /// This agent is the first owner that the buckets have ever had.
  virtual void StartAsFirstOwner(std::span<const std::uint32_t> aBuckets) = 0;

  /// The records of the buckets are lost; this agent now owns the buckets.
  virtual void StartWithoutRecords(std::span<const std::uint32_t> aBuckets) = 0;
};

} // namespace dandelionslip
