// Bucket hand-off of request records.
#include "dandelionslip/Daemon/RequestRecordTransfer.h"

#include "dandelionslip/Request/TransferredBuckets.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace dandelionslip {

namespace {

constexpr char kPeer[] = "bucket hand-off";
constexpr std::int64_t kMsInSecond = 1'000;

} // namespace

RequestRecordTransfer::RequestRecordTransfer(std::function<RequestTime()> aClock)
  : mClock(std::move(aClock))
{
}

Json RequestRecordTransfer::Export(std::span<const std::uint32_t> aBuckets,
                                   const std::string& aNewOwner)
{
  const RequestRecords& records = mHome->Records();
  std::map<std::uint32_t, std::set<std::uint32_t>> byNumber;
  for (const std::uint32_t bucket : aBuckets) {
    const RecordBucketState state = records.StateOf(bucket);
    const std::uint32_t number = records.GenerationOf(bucket);
    if (state == RecordBucketState::Complete) {
      byNumber[number + 1].insert(bucket);
    } else if (state == RecordBucketState::Frozen && records.NewOwner(bucket) == aNewOwner) {
      byNumber[number].insert(bucket);
    }
  }
  Json tables = Json::array();
  for (const auto& [number, buckets] : byNumber) {
    auto table = mHome->FreezeAndExport(buckets, aNewOwner, number, mClock());
    if (!table) {
      LogEvent(LogLevel::Warning, "records_not_exported").With(table.error());
      continue;
    }
    tables.push_back(std::move(table.value()));
  }
  return tables;
}

void RequestRecordTransfer::Import(std::span<const std::uint32_t> aBuckets, const Json& aRecords)
{
  if (aRecords.is_array()) {
    for (const Json& table : aRecords) {
      TakeOver(table);
    }
  }
  std::vector<std::uint32_t> missing;
  for (const std::uint32_t bucket : aBuckets) {
    if (mHome->Records().StateOf(bucket) != RecordBucketState::Complete) {
      missing.push_back(bucket);
    }
  }
  StartWithoutRecords(missing);
}

void RequestRecordTransfer::TakeOver(const Json& aTable)
{
  const auto buckets = ListTransferredBuckets(aTable, kPeer);
  if (!buckets) {
    LogEvent(LogLevel::Warning, "records_not_imported").With(buckets.error());
    return;
  }
  const RequestTime now = mClock();
  for (const auto& [bucket, number] : buckets.value()) {
    Append(mHome->OnBucketAcquired(bucket, number, now));
  }
  auto actions = mHome->OnHandoff(aTable, kPeer, now);
  if (!actions) {
    LogEvent(LogLevel::Warning, "records_not_imported").With(actions.error());
    return;
  }
  Append(std::move(actions.value()));
}

void RequestRecordTransfer::StartAsFirstOwner(std::span<const std::uint32_t> aBuckets)
{
  const RequestTime now = mClock();
  for (const std::uint32_t bucket : aBuckets) {
    Append(mHome->OnBucketFirstOwner(bucket, mHome->Records().GenerationOf(bucket) + 1, now));
  }
}

void RequestRecordTransfer::StartWithoutRecords(std::span<const std::uint32_t> aBuckets)
{
  if (aBuckets.empty()) {
    return;
  }
  LogEvent(LogLevel::Warning, "records_lost").With("buckets", aBuckets.size());
  const RequestTime now = mClock();
  const auto seconds = static_cast<std::uint32_t>(now.mWallMs / kMsInSecond);
  for (const std::uint32_t bucket : aBuckets) {
    const std::uint32_t number = mHome->Records().GenerationOf(bucket) + 1;
    Append(mHome->OnBucketAcquired(bucket, std::max(number, seconds), now));
    Append(mHome->OnPreviousOwnerLost(bucket, now));
  }
}

AgentRequestActions RequestRecordTransfer::TakeActions()
{
  return std::exchange(mActions, {});
}

void RequestRecordTransfer::Append(AgentRequestActions aActions)
{
  std::move(aActions.begin(), aActions.end(), std::back_inserter(mActions));
}

} // namespace dandelionslip
