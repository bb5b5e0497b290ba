// Counts the lines of each event by second.
#include "dandelionslip/Support/LogBudget.h"

#include <utility>

namespace dandelionslip {

namespace {

constexpr Milliseconds kSecond{1'000};

} // namespace

bool LogBudget::Admit(std::string_view aEvent, TimePoint aNow)
{
  auto found = mUsage.find(aEvent);
  if (found == mUsage.end()) {
    found = mUsage.emplace(std::string(aEvent), Usage{aNow, 0, 0}).first;
  }
  Usage& usage = found->second;
  if (aNow - usage.mSecond >= kSecond) {
    usage.mSecond = aNow;
    usage.mLines = 0;
  }
  if (usage.mLines >= kLinesPerSecond) {
    ++usage.mOmitted;
    return false;
  }
  ++usage.mLines;
  return true;
}

std::vector<OmittedLines> LogBudget::TakeOmitted(TimePoint aNow)
{
  std::vector<OmittedLines> omitted;
  if (aNow - mAccountedAt < kSecond) {
    return omitted;
  }
  mAccountedAt = aNow;
  for (auto& [event, usage] : mUsage) {
    if (usage.mOmitted > 0) {
      omitted.push_back({event, std::exchange(usage.mOmitted, 0)});
    }
  }
  return omitted;
}

} // namespace dandelionslip
