// Names of the log levels in settings files.
#include "dandelionslip/Config/CommonSettings.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<LogLevel>> EnumNames(LogLevel)
{
  static constexpr std::array<EnumName<LogLevel>, 4> kNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
  }};
  return kNames;
}

} // namespace dandelionslip
