// Limits the rate of log lines of each event.
#pragma once

#include "dandelionslip/Support/LogPriority.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Number of lines of one event that were omitted and not yet reported.
struct OmittedLines
{
  std::string mEvent;
  std::uint64_t mCount = 0;
};

/// Limits the lines a second of each event separately, so that many lines of one event do not
/// suppress other events. Lines of one event with different priorities are limited separately too.
/// Not thread-safe.
class LogRateLimiter
{
public:
  /// At 0.2 ms of processor time a line, one event takes at most 0.5% of a core.
  static constexpr std::uint32_t kLinesPerSecond = 25;
  /// Lines of high priority that may be written at once in addition; they are regained at
  /// kLinesPerSecond.
  static constexpr std::uint32_t kHighPriorityBurst = 100;

  /// Whether a line of this event may be written now; if not, counts it as omitted.
  bool AllowLine(std::string_view aEvent, TimePoint aNow,
                 LogPriority aPriority = LogPriority::Ordinary);

  /// Returns and resets the counts of omitted lines, at most once a second; empty otherwise.
  std::vector<OmittedLines> TakeOmitted(TimePoint aNow);

private:
  struct EventCounts
  {
    TimePoint mSecondStart; ///< Start of the second that mLines counts.
    std::uint32_t mLines = 0;
    std::uint32_t mBurstUsed = 0; ///< Of kHighPriorityBurst.
    std::uint64_t mOmitted = 0;
  };

  /// By LogPriority and event.
  std::array<std::map<std::string, EventCounts, std::less<>>, kLogPriorities> mCounts;
  TimePoint mReportedAt;
};

} // namespace dandelionslip
