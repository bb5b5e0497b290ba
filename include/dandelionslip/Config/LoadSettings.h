// Reads and checks settings files.
#pragma once

#include "dandelionslip/Config/AgentSettings.h"
#include "dandelionslip/Config/BalancerSettings.h"
#include "dandelionslip/Config/ControlSettings.h"
#include "dandelionslip/Config/TextFile.h"

#include <string>
#include <string_view>

namespace dandelionslip {

/// Checks rules that the field descriptions cannot express. Errors (InvalidInput) name aSource, the
/// key path, the value found and what was expected.
Result<void> CheckSettings(const BalancerSettings& aSettings, std::string_view aSource);
Result<void> CheckSettings(const AgentSettings& aSettings, std::string_view aSource);
Result<void> CheckSettings(const ControlSettings& aSettings, std::string_view aSource);

/// Decodes and checks settings from JSON with comments; T is one of the settings types above.
template <typename T>
Result<T> ParseSettings(std::string_view aText, std::string_view aSource)
{
  const auto json = ParseJson(aText, aSource);
  if (!json) {
    return json.as_failure();
  }
  auto settings = FromJson<T>(json.value(), aSource);
  if (!settings) {
    return settings;
  }
  if (const auto checked = CheckSettings(settings.value(), aSource); !checked) {
    return checked.as_failure();
  }
  return settings;
}

/// Reads, decodes and checks a settings file. Errors: Io when the file cannot be read, otherwise
/// InvalidInput as in CheckSettings.
template <typename T>
Result<T> LoadSettings(const std::string& aPath)
{
  const auto text = ReadTextFile(aPath);
  if (!text) {
    return text.as_failure();
  }
  return ParseSettings<T>(text.value(), aPath);
}

} // namespace dandelionslip
