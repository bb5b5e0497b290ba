// Counts the lines of each event in the current second.
#include "dandelionslip/Support/LogRateLimiter.h"

#include <utility>

namespace dandelionslip {

namespace {

constexpr Milliseconds kSecond{1'000};

} // namespace

bool LogRateLimiter::AllowLine(std::string_view aEvent, TimePoint aNow)
{
  auto found = mCounts.find(aEvent);
  if (found == mCounts.end()) {
    found = mCounts.emplace(std::string(aEvent), EventCounts{aNow, 0, 0}).first;
  }
  EventCounts& counts = found->second;
  if (aNow - counts.mSecondStart >= kSecond) {
    counts.mSecondStart = aNow;
    counts.mLines = 0;
  }
  if (counts.mLines >= kLinesPerSecond) {
    ++counts.mOmitted;
    return false;
  }
  ++counts.mLines;
  return true;
}

std::vector<OmittedLines> LogRateLimiter::TakeOmitted(TimePoint aNow)
{
  std::vector<OmittedLines> omitted;
  if (aNow - mReportedAt < kSecond) {
    return omitted;
  }
  mReportedAt = aNow;
  for (auto& [event, counts] : mCounts) {
    if (counts.mOmitted > 0) {
      omitted.push_back({event, std::exchange(counts.mOmitted, 0)});
    }
  }
  return omitted;
}

} // namespace dandelionslip
