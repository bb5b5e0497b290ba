// A log sink that keeps lines.
#include "Support/CapturedLog.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionslip {

namespace {

namespace sinks = boost::log::sinks;

class KeepingBackend : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding>
{
public:
  explicit KeepingBackend(std::shared_ptr<std::vector<std::string>> aLines)
    : mLines(std::move(aLines))
  {
  }

  void consume(const boost::log::record_view& /*aRecord*/, const std::string& aLine)
  {
    mLines->push_back(aLine);
  }

private:
  std::shared_ptr<std::vector<std::string>> mLines;
};

} // namespace

CapturedLog::CapturedLog()
  : mLines(std::make_shared<std::vector<std::string>>())
{
  InitialiseLog("unittests", "", LogLevel::Info);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(boost::make_shared<sinks::synchronous_sink<KeepingBackend>>(
    boost::make_shared<KeepingBackend>(mLines)));
}

CapturedLog::~CapturedLog()
{
  InitialiseLog("unittests", "", LogLevel::Error);
}

std::vector<std::string> CapturedLog::Lines(std::string_view aEvent) const
{
  const std::string key = " event=" + std::string(aEvent) + " ";
  std::vector<std::string> lines;
  std::copy_if(mLines->begin(), mLines->end(), std::back_inserter(lines),
               [&](const std::string& aLine) { return aLine.find(key) != std::string::npos; });
  return lines;
}

} // namespace dandelionslip
