// Bounds how many lines of each event are logged.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Lines of one event that were left out since the last account of them.
struct OmittedLines
{
  std::string mEvent;
  std::uint64_t mCount = 0;
};

/// Gives every event its own number of lines a second, so that a flood of one event does not hide
/// the others. Not thread-safe.
class LogBudget
{
public:
  /// At 0.2 ms of processor time a line, one event takes at most 0.5% of a core.
  static constexpr std::uint32_t kLinesPerSecond = 25;

  /// Whether a line of this event may be written now; counts it as left out if not.
  bool Admit(std::string_view aEvent, TimePoint aNow);

  /// The lines left out in earlier seconds, once each.
  std::vector<OmittedLines> TakeOmitted(TimePoint aNow);

private:
  struct Usage
  {
    TimePoint mSecond; ///< Start of the second that mLines counts.
    std::uint32_t mLines = 0;
    std::uint64_t mOmitted = 0;
  };

  std::map<std::string, Usage, std::less<>> mUsage;
  TimePoint mAccountedAt;
};

} // namespace dandelionslip
