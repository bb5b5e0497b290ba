// Exports and imports an agent's request records for the bucket transfers of the flow core.
#pragma once

#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Request/AgentRequestCore.h"

#include <functional>

namespace dandelionslip {

/// Connects the bucket transfer of the flow core to the records of the request core. Not
/// thread-safe.
///
/// Every transfer raises the record generation of the bucket by one, so that the request core
/// recognises outdated messages. The record generation is a number of its own, not the generation
/// of the bucket assignment. The new owner of a lost agent's bucket does not know the last record
/// generation. It takes the wall clock in seconds, which is above any count of transfers, or one
/// above the record generation that it knows if that is greater. An owner that already has a higher
/// record generation than a transfer message ignores the message and starts without records.
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
