// Invariants of the replicated log, checked on the history of a run.
#include "Control/HistoryChecker.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

std::uint64_t HashOfEntry(const LogEntry& aEntry)
{
  return Hash64(ToCbor(aEntry));
}

std::string Name(EntryId aId)
{
  return "entry " + std::to_string(aId.mIndex) + " of term " + std::to_string(aId.mTerm);
}

} // namespace

void HistoryChecker::LeaderElected(Term aTerm, const ReplicaId& aReplica,
                                   const std::function<bool(EntryId)>& aHas)
{
  const auto [leader, added] = mLeaders.emplace(aTerm, aReplica);
  if (!added && leader->second != aReplica) {
    Violate(aReplica, "second leader in term " + std::to_string(aTerm));
  }
  for (const ReportedEntry& reported : mReportedApplied) {
    if (reported.mId.mTerm < aTerm && !aHas(reported.mId)) {
      Violate(aReplica, "new leader lacks accepted " + Name(reported.mId));
    }
  }
}

// If equal entry ids always have equal contents and equal terms before them, logs with a common
// entry are equal up to it.
void HistoryChecker::Logged(const ReplicaId& aReplica, const LogEntry& aEntry, Term aPreviousTerm)
{
  const auto [known, added] =
    mLogged.emplace(aEntry.Id(), std::pair(HashOfEntry(aEntry), aPreviousTerm));
  if (!added && known->second != std::pair(HashOfEntry(aEntry), aPreviousTerm)) {
    Violate(aReplica, "logs differ at " + Name(aEntry.Id()));
  }
}

void HistoryChecker::Started(const ReplicaId& aReplica, LogIndex aIndex, std::uint64_t aDigest)
{
  mPositions[aReplica] = {aIndex, aDigest};
  CheckDigest(aReplica, mPositions[aReplica]);
}

void HistoryChecker::Applied(const ReplicaId& aReplica, const LogEntry& aEntry)
{
  Position& position = mPositions[aReplica];
  if (aEntry.mIndex != position.mIndex + 1) {
    Violate(aReplica,
            "applied " + Name(aEntry.Id()) + " after entry " + std::to_string(position.mIndex));
  }
  const auto [committed, added] = mCommitted.emplace(aEntry.mIndex, aEntry.Id());
  if (!added && committed->second != aEntry.Id()) {
    Violate(aReplica, "applied " + Name(aEntry.Id()) + " instead of " + Name(committed->second));
  }
  position = {aEntry.mIndex, CombineHash(position.mDigest, HashOfEntry(aEntry))};
  CheckDigest(aReplica, position);
  if (aEntry.mKind == EntryKind::Command) {
    mAppliedPayloads.insert(Hash64(aEntry.mPayload));
    if (mReportedNotApplied.contains(Hash64(aEntry.mPayload))) {
      Violate(aReplica, "applied refused " + Name(aEntry.Id()));
    }
  }
}

void HistoryChecker::Installed(const ReplicaId& aReplica, LogIndex aIndex, std::uint64_t aDigest)
{
  Position& position = mPositions[aReplica];
  if (aIndex <= position.mIndex) {
    Violate(aReplica, "installed a snapshot of entry " + std::to_string(aIndex) +
                        " after applying entry " + std::to_string(position.mIndex));
  }
  position = {aIndex, aDigest};
  CheckDigest(aReplica, position);
}

void HistoryChecker::ReportedApplied(TimePoint aNow, const LogEntry& aEntry)
{
  const auto committed = mCommitted.find(aEntry.mIndex);
  if (committed == mCommitted.end() || committed->second != aEntry.Id()) {
    Violate("proposer", "accepted " + Name(aEntry.Id()) + " is not applied");
  }
  mReportedApplied.push_back({aNow, aEntry.Id()});
}

void HistoryChecker::ReportedNotApplied(const Bytes& aPayload)
{
  mReportedNotApplied.insert(Hash64(aPayload));
  if (mAppliedPayloads.contains(Hash64(aPayload))) {
    Violate("proposer", "a refused payload was applied");
  }
}

void HistoryChecker::Confirmed(const ReplicaId& aReplica, TimePoint aSince)
{
  const LogIndex applied = mPositions[aReplica].mIndex;
  for (auto at = mReportedApplied.rbegin(); at != mReportedApplied.rend(); ++at) {
    if (at->mTime < aSince) {
      if (at->mId.mIndex > applied) {
        Violate(aReplica, "confirmed without accepted " + Name(at->mId));
      }
      return;
    }
  }
}

std::uint64_t HistoryChecker::DigestOf(const ReplicaId& aReplica) const
{
  const auto found = mPositions.find(aReplica);
  return found == mPositions.end() ? 0 : found->second.mDigest;
}

bool HistoryChecker::WasReportedApplied(EntryId aId) const
{
  return std::any_of(mReportedApplied.rbegin(), mReportedApplied.rend(),
                     [aId](const ReportedEntry& aEntry) { return aEntry.mId == aId; });
}

void HistoryChecker::Violate(const ReplicaId& aReplica, const std::string& aWhat)
{
  mViolations.push_back(aReplica + ": " + aWhat);
}

void HistoryChecker::CheckDigest(const ReplicaId& aReplica, const Position& aPosition)
{
  const auto [known, added] = mDigests.emplace(aPosition.mIndex, aPosition.mDigest);
  if (!added && known->second != aPosition.mDigest) {
    Violate(aReplica, "state differs after entry " + std::to_string(aPosition.mIndex));
  }
}

} // namespace dandelionslip
