// Boost.Log behind the structured logging interface.
#include "dandelionslip/Support/Log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <chrono>
#include <iostream>
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

std::string& Prefix()
{
  static std::string prefix;
  return prefix;
}

bool IsPlain(char aCharacter)
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
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  logging::core::get()->add_sink(
    boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend));
  logging::core::get()->set_filter(logging::expressions::attr<int>("Severity") >=
                                   static_cast<int>(aLevel));
}

std::string QuoteLogValue(std::string_view aValue)
{
  if (!aValue.empty() && std::all_of(aValue.begin(), aValue.end(), IsPlain)) {
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

LogEvent::LogEvent(LogLevel aLevel, std::string_view aEvent)
  : mLevel(aLevel)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  With("time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  With("level", kLevels[static_cast<std::size_t>(aLevel)].second);
  mLine += Prefix();
  With("event", aEvent);
}

LogEvent::~LogEvent()
{
  logging::sources::severity_logger<int> logger(logging::keywords::severity =
                                                  static_cast<int>(mLevel));
  mLine.pop_back();
  BOOST_LOG(logger) << mLine;
}

LogEvent& LogEvent::With(std::string_view aKey, std::string_view aValue)
{
  mLine += aKey;
  mLine += '=';
  mLine += QuoteLogValue(aValue);
  mLine += ' ';
  return *this;
}

LogEvent& LogEvent::With(const Error& aError)
{
  return With("step", aError.mStep)
    .With("peer", aError.mPeer)
    .With("code", ToString(aError.mCode))
    .With("detail", aError.mDetail);
}

} // namespace dandelionslip
