// Limits the rate of log lines of each event.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

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
/// suppress other events. Not thread-safe.
class LogRateLimiter
{
public:
  /// At 0.2 ms of processor time a line, one event takes at most 0.5% of a core.
  static constexpr std::uint32_t kLinesPerSecond = 25;

  /// Whether a line of this event may be written now; if not, counts it as omitted.
  bool AllowLine(std::string_view aEvent, TimePoint aNow);

  /// Returns and resets the counts of omitted lines, at most once a second; empty otherwise.
  std::vector<OmittedLines> TakeOmitted(TimePoint aNow);

private:
  struct EventCounts
  {
    TimePoint mSecondStart; ///< Start of the second that mLines counts.
    std::uint32_t mLines = 0;
    std::uint64_t mOmitted = 0;
  };

  std::map<std::string, EventCounts, std::less<>> mCounts;
  TimePoint mReportedAt;
};

} // namespace dandelionslip
