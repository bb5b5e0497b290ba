// Transfers an agent's request records together with its flow directory.
#pragma once

#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Request/AgentRequestCore.h"

#include <functional>

namespace dandelionslip {

/// Connects the bucket transfer of the flow core to the records of the request core. Not
/// thread-safe.
///
/// Every transfer raises the generation of the bucket's records by one, so that the request core
/// recognises outdated messages. This generation is not the generation of the assignment. The new
/// owner of a lost agent's bucket does not know the last value. It takes the wall clock in seconds,
/// which is above any count of transfers, or its own value plus one if that is higher. An owner
/// that already has a higher value than a transfer message ignores the message and starts without
/// records.
class RequestRecordTransfer : public BucketRecords
{
public:
  /// aClock gives the time of each event.
  explicit RequestRecordTransfer(std::function<RequestTime()> aClock);

  /// Sets the request core; call before any other function. aRequestCore must outlive this object.
  void SetRequestCore(AgentRequestCore& aRequestCore) { mRequestCore = &aRequestCore; }

  Json Export(std::span<const std::uint32_t> aBuckets, const std::string& aNewOwner) override;
  void Import(std::span<const std::uint32_t> aBuckets, const Json& aRecords) override;
  void StartAsFirstOwner(std::span<const std::uint32_t> aBuckets) override;
  void StartWithoutRecords(std::span<const std::uint32_t> aBuckets) override;

  /// Returns the actions of the request core since the last call.
  AgentRequestActions TakeActions();

private:
  void ImportTable(const Json& aTable);
  void Append(AgentRequestActions aActions);

  std::function<RequestTime()> mClock;
  AgentRequestCore* mRequestCore = nullptr;
  AgentRequestActions mActions;
};

} // namespace dandelionslip
