// Log lines that a test causes.
#pragma once

#include "dandelionslip/Support/Log.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Takes the lines of level info and higher instead of standard output while it exists. Rate limits
/// apply. Not thread-safe; one at a time.
class CapturedLog
{
public:
  CapturedLog();
  ~CapturedLog();
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// The lines of the event in the order in which they were written.
  std::vector<std::string> Lines(std::string_view aEvent) const;

private:
  std::shared_ptr<std::vector<std::string>> mLines;
};

} // namespace dandelionslip
