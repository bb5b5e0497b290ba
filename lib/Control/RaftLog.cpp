// The log in memory: the entries after the snapshot and the memberships among them.
#include "RaftLog.h"

namespace dandelionslip {

RaftLog::RaftLog(std::shared_ptr<const Snapshot> aSnapshot, std::vector<LogEntry> aEntries)
{
  Replace(std::move(aSnapshot));
  for (LogEntry& entry : aEntries) {
    Append(std::move(entry));
  }
}

std::optional<Term> RaftLog::TermAt(LogIndex aIndex) const
{
  const EntryId snapshot = SnapshotId();
  if (aIndex == snapshot.mIndex) {
    return snapshot.mTerm;
  }
  if (aIndex < snapshot.mIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).mTerm;
}

std::vector<LogEntry> RaftLog::Slice(LogIndex aFirst, std::size_t aMaxEntries,
                                     std::size_t aMaxBytes) const
{
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = aFirst; index <= LastIndex() && slice.size() < aMaxEntries; ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.mPayload.size();
    if (!slice.empty() && bytes > aMaxBytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

std::vector<LogEntry> RaftLog::Range(LogIndex aFirst, LogIndex aLast) const
{
  std::vector<LogEntry> range;
  for (LogIndex index = aFirst; index <= aLast; ++index) {
    range.push_back(At(index));
  }
  return range;
}

void RaftLog::Append(LogEntry aEntry)
{
  IndexMembership(aEntry);
  mEntries.push_back(std::move(aEntry));
}

void RaftLog::TruncateFrom(LogIndex aFirst)
{
  mEntries.resize(aFirst - SnapshotId().mIndex - 1);
  mMemberships.erase(mMemberships.lower_bound(aFirst), mMemberships.end());
}

void RaftLog::Compact(std::shared_ptr<const Snapshot> aSnapshot)
{
  const auto covered = static_cast<std::ptrdiff_t>(aSnapshot->mIndex - SnapshotId().mIndex);
  mEntries.erase(mEntries.begin(), mEntries.begin() + covered);
  mMemberships.erase(mMemberships.begin(), mMemberships.upper_bound(aSnapshot->mIndex));
  mMemberships[aSnapshot->mIndex] = aSnapshot->mMembership;
  mSnapshot = std::move(aSnapshot);
}

void RaftLog::Replace(std::shared_ptr<const Snapshot> aSnapshot)
{
  mEntries.clear();
  mMemberships.clear();
  mSnapshot = std::move(aSnapshot);
  mMemberships[SnapshotId().mIndex] = mSnapshot ? mSnapshot->mMembership : RaftMembership{};
}

const RaftMembership& RaftLog::MembershipAt(LogIndex aIndex) const
{
  return std::prev(mMemberships.upper_bound(aIndex))->second;
}

void RaftLog::IndexMembership(const LogEntry& aEntry)
{
  if (aEntry.mKind != EntryKind::Membership) {
    return;
  }
  // The payload was checked when the entry was received or loaded.
  if (auto membership = FromCbor<RaftMembership>(aEntry.mPayload, "log")) {
    mMemberships[aEntry.mIndex] = std::move(membership).value();
  }
}

const LogEntry& RaftLog::At(LogIndex aIndex) const
{
  return mEntries[aIndex - SnapshotId().mIndex - 1];
}

} // namespace dandelionslip
