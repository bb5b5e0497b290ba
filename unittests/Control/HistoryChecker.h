// Invariants of the replicated log, checked on the history of a run.
#pragma once

#include "dandelionslip/Control/LogEntry.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelionslip {

/// Collects what replicas did and records each violated invariant.
class HistoryChecker
{
public:
  /// A replica won an election; aHas tells whether its log holds an entry.
  void LeaderElected(Term aTerm, const ReplicaId& aReplica,
                     const std::function<bool(EntryId)>& aHas);
  /// A replica's durable log holds an entry after an entry of aPreviousTerm.
  void Logged(const ReplicaId& aReplica, const LogEntry& aEntry, Term aPreviousTerm);
  /// A replica's process started with the state of a snapshot; index 0 when there is none.
  void Started(const ReplicaId& aReplica, LogIndex aIndex, std::uint64_t aDigest);
  /// A replica applied an entry.
  void Applied(const ReplicaId& aReplica, const LogEntry& aEntry);
  /// A replica replaced its state by that of a snapshot.
  void Installed(const ReplicaId& aReplica, LogIndex aIndex, std::uint64_t aDigest);
  /// A proposer was told that its entry is applied.
  void ReportedApplied(TimePoint aNow, const LogEntry& aEntry);
  /// A proposer was told that its payload will never be applied.
  void ReportedNotApplied(const Bytes& aPayload);
  /// A replica reports that it is confirmed: all that was reported as applied before aSince must be
  /// applied here.
  void Confirmed(const ReplicaId& aReplica, TimePoint aSince);

  /// Digest of all entries that a replica has applied.
  std::uint64_t DigestOf(const ReplicaId& aReplica) const;
  std::size_t ReportedAppliedCount() const { return mReportedApplied.size(); }
  /// Whether a proposer was told that this entry is applied.
  bool WasReportedApplied(EntryId aId) const;
  /// The first violation, or an empty text.
  std::string FirstViolation() const { return mViolations.empty() ? "" : mViolations.front(); }

private:
  struct Position
  {
    LogIndex mIndex = 0;
    std::uint64_t mDigest = 0;
  };
  struct ReportedEntry
  {
    TimePoint mTime;
    EntryId mId;
  };

  void Violate(const ReplicaId& aReplica, const std::string& aWhat);
  void CheckDigest(const ReplicaId& aReplica, const Position& aPosition);

  std::map<Term, ReplicaId> mLeaders;
  /// Hash of the entry and term of the entry before it.
  std::map<EntryId, std::pair<std::uint64_t, Term>> mLogged;
  std::map<LogIndex, EntryId> mCommitted;
  std::map<LogIndex, std::uint64_t> mDigests;
  std::map<ReplicaId, Position> mPositions;
  std::vector<ReportedEntry> mReportedApplied; ///< In order of time.
  std::set<std::uint64_t> mReportedNotApplied; ///< Hashes of payloads.
  std::set<std::uint64_t> mAppliedPayloads;
  std::vector<std::string> mViolations;
};

} // namespace dandelionslip
