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

/// Decides open proposals by the entries that are applied. Not thread-safe.
class ProposalTracker
{
public:
  /// Starts to wait for an entry returned by RaftCore::Propose.
  void Track(EntryId aEntry);
  /// An entry was applied. Returns the outcomes that this decides.
  std::vector<ProposalResult> OnApplied(const LogEntry& aEntry);
  /// A snapshot replaced all entries up to aIndex; their outcomes are unknown.
  std::vector<ProposalResult> OnSnapshotInstalled(LogIndex aIndex);
  /// Gives up on all open proposals, for example at a stop.
  std::vector<ProposalResult> AbandonAll();
  /// Gives up on one proposal, for example at its deadline.
  void Forget(EntryId aEntry);
  std::size_t OpenCount() const { return mOpen.size(); }

private:
  std::multimap<LogIndex, Term> mOpen;
};

} // namespace dandelionslip
