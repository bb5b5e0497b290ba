// Transfer of request records to the new owner of their buckets.
#include "dandelionslip/Daemon/RequestRecordTransfer.h"

#include "dandelionslip/Request/TransferredBuckets.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace dandelionslip {

namespace {

// Names the source of a transfer message in errors.
constexpr char kErrorSource[] = "bucket transfer from the previous owner";
constexpr std::int64_t kMsInSecond = 1'000;

} // namespace

RequestRecordTransfer::RequestRecordTransfer(std::function<RequestTime()> aClock)
  : mClock(std::move(aClock))
{
}

Json RequestRecordTransfer::Export(std::span<const std::uint32_t> aBuckets,
                                   const std::string& aNewOwner)
{
  const RequestRecords& records = mRequestCore->Records();
  std::map<std::uint32_t, std::set<std::uint32_t>> byGeneration;
  for (const std::uint32_t bucket : aBuckets) {
    const RecordBucketState state = records.StateOf(bucket);
    const std::uint32_t generation = records.GenerationOf(bucket);
    if (state == RecordBucketState::Complete) {
      byGeneration[generation + 1].insert(bucket);
      // A frozen bucket was exported before and has its new generation; a repeated export must not
      // raise it again.
    } else if (state == RecordBucketState::Frozen && records.NewOwner(bucket) == aNewOwner) {
      byGeneration[generation].insert(bucket);
    }
  }
  Json tables = Json::array();
  for (const auto& [generation, buckets] : byGeneration) {
    auto table = mRequestCore->FreezeAndExport(buckets, aNewOwner, generation, mClock());
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
      ImportTable(table);
    }
  }
  std::vector<std::uint32_t> missing;
  for (const std::uint32_t bucket : aBuckets) {
    if (mRequestCore->Records().StateOf(bucket) != RecordBucketState::Complete) {
      missing.push_back(bucket);
    }
  }
  StartWithoutRecords(missing);
}

void RequestRecordTransfer::ImportTable(const Json& aTable)
{
  const auto buckets = ListTransferredBuckets(aTable, kErrorSource);
  if (!buckets) {
    LogEvent(LogLevel::Warning, "records_not_imported").With(buckets.error());
    return;
  }
  const RequestTime now = mClock();
  for (const auto& [bucket, generation] : buckets.value()) {
    Append(mRequestCore->OnBucketAcquired(bucket, generation, now));
  }
  auto actions = mRequestCore->OnBucketTransfer(aTable, kErrorSource, now);
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
    Append(mRequestCore->OnFirstOwnership(bucket, mRequestCore->Records().GenerationOf(bucket) + 1,
                                          now));
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
    const std::uint32_t generation = mRequestCore->Records().GenerationOf(bucket) + 1;
    Append(mRequestCore->OnBucketAcquired(bucket, std::max(generation, seconds), now));
    Append(mRequestCore->OnPreviousOwnerLost(bucket, now));
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
