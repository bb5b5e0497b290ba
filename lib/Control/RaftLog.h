// The log in memory: the entries after the snapshot and the memberships among them.
#pragma once

#include "dandelionslip/Control/Snapshot.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dandelionslip {

/// The log in memory: the entries after the snapshot and the memberships among them.
class RaftLog
{
public:
  RaftLog(std::shared_ptr<const Snapshot> aSnapshot, std::vector<LogEntry> aEntries);

  /// Whether there is neither an entry nor a snapshot.
  bool IsEmpty() const { return LastIndex() == 0; }
  /// The entry that the snapshot ends with; index 0 when there is none.
  EntryId SnapshotId() const { return mSnapshot ? mSnapshot->Id() : EntryId{}; }
  const std::shared_ptr<const Snapshot>& LastSnapshot() const { return mSnapshot; }
  LogIndex LastIndex() const { return SnapshotId().mIndex + mEntries.size(); }
  Term LastTerm() const { return *TermAt(LastIndex()); }
  /// Term of an entry that is in the log or ends the snapshot; 0 for index 0.
  std::optional<Term> TermAt(LogIndex aIndex) const;

  /// Copies entries starting with aFirst: at least one, and more while both limits allow it.
  std::vector<LogEntry> Slice(LogIndex aFirst, std::size_t aMaxEntries,
                              std::size_t aMaxBytes) const;
  /// Copies the entries from aFirst to aLast, both included.
  std::vector<LogEntry> Range(LogIndex aFirst, LogIndex aLast) const;

  /// Appends an entry that follows the last one.
  void Append(LogEntry aEntry);
  /// Removes the entry with this index and all later ones.
  void TruncateFrom(LogIndex aFirst);
  /// Takes a newer snapshot; drops the entries that it covers and keeps later ones.
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);
  /// Takes a snapshot and drops all entries.
  void Replace(std::shared_ptr<const Snapshot> aSnapshot);

  /// The newest membership and the index of its entry.
  const RaftMembership& LatestMembership() const { return mMemberships.rbegin()->second; }
  LogIndex LatestMembershipIndex() const { return mMemberships.rbegin()->first; }
  /// The membership in force after aIndex, which is not below the snapshot.
  const RaftMembership& MembershipAt(LogIndex aIndex) const;

private:
  void IndexMembership(const LogEntry& aEntry);
  const LogEntry& At(LogIndex aIndex) const;

  std::shared_ptr<const Snapshot> mSnapshot;
  std::deque<LogEntry> mEntries;
  /// By index of the entry. The first one is the snapshot's, at the snapshot's index.
  std::map<LogIndex, RaftMembership> mMemberships;
};

} // namespace dandelionslip
