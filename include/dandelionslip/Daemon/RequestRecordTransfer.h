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
/// recognises outdated messages. The generation of a lost owner is not known: its successor uses
/// the wall clock in seconds, unless it already knows a higher generation. If a later owner knows a
/// generation above the one that is transferred to it, it starts without records.
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
