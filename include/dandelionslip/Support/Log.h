// Structured logging: one line of key=value pairs for each event.
#pragma once

#include "dandelionslip/Support/Error.h"

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

/// Reads a level name ("debug", "info", "warning", "error").
Result<LogLevel> ParseLogLevel(std::string_view aName);

/// Sets the lowest level that is written and the program name on every line. Lines go to standard
/// output, at most LogBudget::kLinesPerSecond of each event; a reader that stops reading loses
/// lines but never delays the process.
void InitialiseLog(std::string_view aProgram, std::string_view aNode, LogLevel aLevel);

/// One log line, written when the object goes out of scope.
class LogEvent
{
public:
  LogEvent(LogLevel aLevel, std::string_view aEvent);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a pair; the value is quoted and escaped where needed.
  LogEvent& With(std::string_view aKey, std::string_view aValue);

  template <std::integral T>
  LogEvent& With(std::string_view aKey, T aValue)
  {
    return With(aKey, std::string_view(std::to_string(aValue)));
  }

  /// Adds step, peer, code and detail of an error.
  LogEvent& With(const Error& aError);

private:
  void Begin(std::string_view aEvent);

  LogLevel mLevel;
  bool mWritten; ///< The level is high enough and the event has lines left in this second.
  std::string mLine;
};

/// Quotes and escapes a log value when it holds spaces, quotes or control characters.
std::string QuoteLogValue(std::string_view aValue);

} // namespace dandelionslip
