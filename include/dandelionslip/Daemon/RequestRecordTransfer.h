// Moves the request records of an agent together with its bucket directory.
#pragma once

#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Request/AgentRequestCore.h"

#include <functional>

namespace dandelionslip {

/// Connects the bucket hand-off of the flow core to the records of the request core. Not
/// thread-safe.
///
/// Every transfer raises the bucket's number by one, so that a record table recognises outdated
/// messages. After a loss the number starts from the wall clock, because the lost owner's is not
/// known; if it turns out too low for a later owner, that owner starts without records.
class RequestRecordTransfer : public BucketRecords
{
public:
  /// aClock gives the time of each event.
  explicit RequestRecordTransfer(std::function<RequestTime()> aClock);

  /// Sets the request core; call before any other function. aHome must outlive this object.
  void Attach(AgentRequestCore& aHome) { mHome = &aHome; }

  Json Export(std::span<const std::uint32_t> aBuckets, const std::string& aNewOwner) override;
  void Import(std::span<const std::uint32_t> aBuckets, const Json& aRecords) override;
  void StartAsFirstOwner(std::span<const std::uint32_t> aBuckets) override;
  void StartWithoutRecords(std::span<const std::uint32_t> aBuckets) override;

  /// The request actions that the calls since the last one have caused.
  AgentRequestActions TakeActions();

private:
  void TakeOver(const Json& aTable);
  void Append(AgentRequestActions aActions);

  std::function<RequestTime()> mClock;
  AgentRequestCore* mHome = nullptr;
  AgentRequestActions mActions;
};

} // namespace dandelionslip
