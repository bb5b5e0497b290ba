// Outcomes of proposals that wait for their entry to be applied.
#pragma once

#include "dandelionslip/Control/LogEntry.h"

#include <map>
#include <vector>

namespace dandelionslip {

enum class ProposalOutcome
{
  Applied,
  NotApplied, ///< Another entry was committed at the index, so this one never will be.
  Unknown,    ///< It may have been applied or may still be.
};

struct ProposalResult
{
  EntryId mEntry;
  ProposalOutcome mOutcome = ProposalOutcome::Unknown;

  bool operator==(const ProposalResult&) const = default;
};

/// Determines the outcomes of open proposals from the applied entries. Not thread-safe.
class ProposalTracker
{
public:
  /// Starts to wait for an entry returned by RaftCore::Propose.
  void Track(EntryId aEntry);
  /// An entry was applied. Returns the outcomes that follow from it.
  std::vector<ProposalResult> OnApplied(const LogEntry& aEntry);
  /// A snapshot replaced all entries up to aIndex; their outcomes are unknown.
  std::vector<ProposalResult> OnSnapshotInstalled(LogIndex aIndex);
  /// Stops tracking all open proposals, for example at a stop; their outcomes are unknown.
  std::vector<ProposalResult> AbandonAll();
  /// Stops tracking one proposal without a result, for example at its deadline.
  void Forget(EntryId aEntry);
  std::size_t OpenCount() const { return mOpen.size(); }

private:
  std::multimap<LogIndex, Term> mOpen;
};

} // namespace dandelionslip
