// Outcomes of proposals that wait for their entry to be applied.
#include "dandelionslip/Control/ProposalTracker.h"

namespace dandelionslip {

namespace {

using OpenProposals = std::multimap<LogIndex, Term>;

std::vector<ProposalResult> RemoveAsUnknown(OpenProposals& aOpen, OpenProposals::iterator aEnd)
{
  std::vector<ProposalResult> results;
  for (auto at = aOpen.begin(); at != aEnd; ++at) {
    results.push_back({{at->first, at->second}, ProposalOutcome::Unknown});
  }
  aOpen.erase(aOpen.begin(), aEnd);
  return results;
}

} // namespace

void ProposalTracker::Track(EntryId aEntry)
{
  mOpen.emplace(aEntry.mIndex, aEntry.mTerm);
}

std::vector<ProposalResult> ProposalTracker::OnApplied(const LogEntry& aEntry)
{
  std::vector<ProposalResult> results;
  const auto [first, last] = mOpen.equal_range(aEntry.mIndex);
  for (auto at = first; at != last; ++at) {
    const bool same = at->second == aEntry.mTerm;
    results.push_back(
      {{at->first, at->second}, same ? ProposalOutcome::Applied : ProposalOutcome::NotApplied});
  }
  mOpen.erase(first, last);
  return results;
}

std::vector<ProposalResult> ProposalTracker::OnSnapshotInstalled(LogIndex aIndex)
{
  return RemoveAsUnknown(mOpen, mOpen.upper_bound(aIndex));
}

std::vector<ProposalResult> ProposalTracker::AbandonAll()
{
  return RemoveAsUnknown(mOpen, mOpen.end());
}

void ProposalTracker::Forget(EntryId aEntry)
{
  const auto [first, last] = mOpen.equal_range(aEntry.mIndex);
  for (auto at = first; at != last; ++at) {
    if (at->second == aEntry.mTerm) {
      mOpen.erase(at);
      return;
    }
  }
}

} // namespace dandelionslip
