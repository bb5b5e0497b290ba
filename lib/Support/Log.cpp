// Implements structured logging with Boost.Log.
#include "dandelionslip/Support/Log.h"

#include "dandelionslip/Support/LineWriter.h"
#include "dandelionslip/Support/LogRateLimiter.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <chrono>
#include <mutex>
#include <unistd.h>
#include <utility>

namespace dandelionslip {

namespace {

namespace logging = boost::log;

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> kLevels{{
  {LogLevel::Debug, "debug"},
  {LogLevel::Info, "info"},
  {LogLevel::Warning, "warning"},
  {LogLevel::Error, "error"},
}};

constexpr std::chrono::seconds kDropReportInterval{1};
constexpr const char* kPriorityAttribute = "Priority";

std::string& Prefix()
{
  static std::string prefix;
  return prefix;
}

LogLevel& Threshold()
{
  static LogLevel threshold = LogLevel::Info;
  return threshold;
}

LineWriter& Output()
{
  static LineWriter writer(STDOUT_FILENO);
  return writer;
}

// Passes formatted records to the line writer, which does not block.
class LineBackend
  : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding>
{
public:
  void consume(const logging::record_view& aRecord, const std::string& aLine)
  {
    const auto priority = logging::extract<LogPriority>(kPriorityAttribute, aRecord);
    Output().Write(aLine, priority ? *priority : LogPriority::Ordinary);
  }
};

void WriteRecord(LogLevel aLevel, const std::string& aLine,
                 LogPriority aPriority = LogPriority::Ordinary)
{
  logging::sources::severity_logger<int> logger(logging::keywords::severity =
                                                  static_cast<int>(aLevel));
  if (aPriority != LogPriority::Ordinary) {
    logger.add_attribute(kPriorityAttribute, logging::attributes::constant<LogPriority>(aPriority));
  }
  BOOST_LOG(logger) << aLine;
}

std::string TimeMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string WarningAbout(std::string_view aEvent)
{
  return "time_ms=" + TimeMs() + " level=warning " + Prefix() + "event=" + std::string(aEvent);
}

// Whether the rate limit allows a line of this event. Also logs how many lines were omitted or
// dropped before.
bool AllowLineAndReportOmitted(std::string_view aEvent, LogPriority aPriority)
{
  static std::mutex mutex;
  static LogRateLimiter limiter;
  static TimePoint dropsReportedAt;
  const TimePoint now = RuntimeClock::now();
  std::vector<OmittedLines> omitted;
  bool allowed = false;
  {
    const std::lock_guard lock(mutex);
    omitted = limiter.TakeOmitted(now);
    allowed = limiter.AllowLine(aEvent, now, aPriority);
    if (now - dropsReportedAt >= kDropReportInterval) {
      dropsReportedAt = now;
      Output().ReportDropped(WarningAbout("log_lines_dropped"));
    }
  }
  for (const auto& [event, count] : omitted) {
    WriteRecord(LogLevel::Warning, WarningAbout("log_lines_omitted") + " of=" + event +
                                     " count=" + std::to_string(count));
  }
  return allowed;
}

bool NeedsNoQuotes(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte > ' ' && byte < 0x7f && aCharacter != '"' && aCharacter != '=' && aCharacter != '\\';
}

} // namespace

Result<LogLevel> ParseLogLevel(std::string_view aName)
{
  for (const auto& [level, name] : kLevels) {
    if (name == aName) {
      return level;
    }
  }
  return Fail(ErrorCode::InvalidInput, "log.level", std::string(aName),
              "expected debug, info, warning or error");
}

void InitialiseLog(std::string_view aProgram, std::string_view aNode, LogLevel aLevel)
{
  Prefix() = "program=" + QuoteLogValue(aProgram) + " node=" + QuoteLogValue(aNode) + " ";
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(
    boost::make_shared<logging::sinks::synchronous_sink<LineBackend>>());
  Threshold() = aLevel;
}

std::string QuoteLogValue(std::string_view aValue)
{
  if (!aValue.empty() && std::all_of(aValue.begin(), aValue.end(), NeedsNoQuotes)) {
    return std::string(aValue);
  }
  static constexpr std::string_view kHex = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (byte < ' ' || byte == 0x7f) {
      quoted += "\\x";
      quoted += kHex[byte >> 4U];
      quoted += kHex[byte & 0xfU];
    } else {
      quoted += character;
    }
  }
  return quoted + "\"";
}

LogEvent::LogEvent(LogLevel aLevel, std::string_view aEvent, LogPriority aPriority)
  : mLevel(aLevel)
  , mPriority(aPriority)
  , mEnabled(aLevel >= Threshold() && AllowLineAndReportOmitted(aEvent, aPriority))
{
  if (mEnabled) {
    Begin(aEvent);
  }
}

void LogEvent::Begin(std::string_view aEvent)
{
  With("time_ms", TimeMs());
  With("level", kLevels[static_cast<std::size_t>(mLevel)].second);
  mLine += Prefix();
  With("event", aEvent);
}

LogEvent::~LogEvent()
{
  if (mEnabled) {
    mLine.pop_back();
    WriteRecord(mLevel, mLine, mPriority);
  }
}

LogEvent& LogEvent::With(std::string_view aKey, std::string_view aValue)
{
  if (mEnabled) {
    mLine += aKey;
    mLine += '=';
    mLine += QuoteLogValue(aValue);
    mLine += ' ';
  }
  return *this;
}

LogEvent& LogEvent::With(const Error& aError)
{
  return With("step", aError.mStep)
    .With("peer", aError.mSubject)
    .With("code", ToString(aError.mCode))
    .With("detail", aError.mDetail);
}

} // namespace dandelionslip
