// Checks of request histories.
#include "RequestHistory.h"

#include <algorithm>

namespace dandelionslip::requesttest {

namespace {

// The check for claims about idempotent requests compares only the caller's attempt, because each
// of their attempts may run.
bool Contradicts(const IdHistory& aHistory, const IdHistory::Claim& aClaim,
                 const IdHistory::Run& aRun)
{
  if (aHistory.mIdempotent) {
    return aRun.mAttempt >> kTryBits == aClaim.mCovers >> kTryBits;
  }
  return aRun.mAttempt <= aClaim.mCovers;
}

std::string CheckClaim(const IdHistory& aHistory, const IdHistory::Claim& aClaim)
{
  const auto& runs = aHistory.mRuns;
  switch (aClaim.mOutcome) {
    case RequestOutcome::Answered:
      return std::any_of(runs.begin(), runs.end(),
                         [&aClaim](const IdHistory::Run& aRun) {
                           return !aRun.mProduced.empty() && aRun.mProduced == aClaim.mBody;
                         })
               ? ""
               : "an answer that no run produced";
    case RequestOutcome::NotRun:
    case RequestOutcome::Cancelled:
      return std::any_of(
               runs.begin(), runs.end(),
               [&](const IdHistory::Run& aRun) { return Contradicts(aHistory, aClaim, aRun); })
               ? "a run of an attempt that was reported as not run"
               : "";
    default:
      return "";
  }
}

} // namespace

std::size_t RequestHistory::Started(const RequestId& aId, Attempt aAttempt)
{
  auto& runs = mIds[aId].mRuns;
  runs.push_back({aAttempt, {}});
  return runs.size() - 1;
}

void RequestHistory::Produced(const RequestId& aId, std::size_t aRun, Bytes aBody)
{
  mIds[aId].mRuns.at(aRun).mProduced = std::move(aBody);
}

void RequestHistory::Claimed(const RequestId& aId, Attempt aCovers, const RequestReply& aAnswer)
{
  mIds[aId].mClaims.push_back({aCovers, aAnswer.mOutcome, aAnswer.mAnswer.mBody});
}

std::vector<std::string> RequestHistory::Check() const
{
  std::vector<std::string> found;
  for (const auto& [id, history] : mIds) {
    if (!history.mIdempotent && history.mRuns.size() > 1) {
      found.push_back(id.ToString() + ": " + std::to_string(history.mRuns.size()) + " runs");
    }
    for (const IdHistory::Claim& claim : history.mClaims) {
      if (const std::string problem = CheckClaim(history, claim); !problem.empty()) {
        found.push_back(id.ToString() + ": " + problem);
      }
    }
  }
  return found;
}

} // namespace dandelionslip::requesttest
