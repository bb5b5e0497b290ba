// Structured logging: one line of key=value pairs for each event.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/LogPriority.h"

#include <concepts>
#include <string>
#include <string_view>

namespace dandelionslip {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Parses a level name ("debug", "info", "warning", "error").
Result<LogLevel> ParseLogLevel(std::string_view aName);

/// Sets the lowest level that is written, and the program and node name on every line. Lines go to
/// standard output, at most LogRateLimiter::kLinesPerSecond a second for each event, with an
/// additional burst for lines of high priority. While nothing reads the output, lines are dropped,
/// those of high priority last, and the process is not delayed. The numbers of omitted and dropped
/// lines are logged.
void InitialiseLog(std::string_view aProgram, std::string_view aNode, LogLevel aLevel);

/// One log line, which the destructor writes.
class LogEvent
{
public:
  LogEvent(LogLevel aLevel, std::string_view aEvent, LogPriority aPriority = LogPriority::Ordinary);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a key=value pair; the value is quoted and escaped where needed.
  LogEvent& With(std::string_view aKey, std::string_view aValue);

  template <std::integral T>
  LogEvent& With(std::string_view aKey, T aValue)
  {
    return With(aKey, std::string_view(std::to_string(aValue)));
  }

  /// Adds step, subject (with the key "peer"), code and detail of an error.
  LogEvent& With(const Error& aError);

private:
  void Begin(std::string_view aEvent);

  LogLevel mLevel;
  LogPriority mPriority;
  bool mEnabled; ///< Whether the level is high enough and the event's rate limit allows the line.
  std::string mLine;
};

/// Quotes and escapes a log value when it holds spaces, quotes or control characters.
std::string QuoteLogValue(std::string_view aValue);

} // namespace dandelionslip
