// Counts the lines of each event in the current second.
#include "dandelionslip/Support/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

constexpr Milliseconds kSecond{1'000};

} // namespace

bool LogRateLimiter::AllowLine(std::string_view aEvent, TimePoint aNow, LogPriority aPriority)
{
  auto& events = mCounts[static_cast<std::size_t>(aPriority)];
  auto found = events.find(aEvent);
  if (found == events.end()) {
    found = events.emplace(std::string(aEvent), EventCounts{aNow, 0, 0, 0}).first;
  }
  EventCounts& counts = found->second;
  if (aNow - counts.mSecondStart >= kSecond) {
    // What the past seconds left unused of their lines.
    const auto seconds =
      std::min<std::int64_t>((aNow - counts.mSecondStart) / kSecond, kHighPriorityBurst);
    const auto regained = static_cast<std::uint32_t>(seconds) * kLinesPerSecond - counts.mLines;
    counts.mBurstUsed -= std::min(counts.mBurstUsed, regained);
    counts.mSecondStart = aNow;
    counts.mLines = 0;
  }
  if (counts.mLines < kLinesPerSecond) {
    ++counts.mLines;
    return true;
  }
  if (aPriority == LogPriority::High && counts.mBurstUsed < kHighPriorityBurst) {
    ++counts.mBurstUsed;
    return true;
  }
  ++counts.mOmitted;
  return false;
}

std::vector<OmittedLines> LogRateLimiter::TakeOmitted(TimePoint aNow)
{
  std::vector<OmittedLines> omitted;
  if (aNow - mReportedAt < kSecond) {
    return omitted;
  }
  mReportedAt = aNow;
  for (auto& events : mCounts) {
    for (auto& [event, counts] : events) {
      if (counts.mOmitted > 0) {
        omitted.push_back({event, std::exchange(counts.mOmitted, 0)});
      }
    }
  }
  return omitted;
}

} // namespace dandelionslip
