// Checks of settings that the field descriptions cannot express.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Support/Error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionslip {

/// Checks the values of one settings file and records the first violation.
class SettingsChecker
{
public:
  explicit SettingsChecker(std::string_view aSource)
    : mSource(aSource)
  {
  }

  /// Checks a name of a node, data centre or service: 1 to 63 characters of a-z, 0-9 and '-'.
  void CheckName(std::string_view aKey, std::string_view aValue);

  /// Checks a numeric address:port that no other key checked by this function has with the same
  /// transport.
  void CheckDistinctEndpoint(std::string_view aKey, std::string_view aValue,
                             std::string_view aTransport);

  /// Checks and returns a numeric address:port.
  std::optional<Endpoint> CheckEndpoint(std::string_view aKey, std::string_view aValue);

  /// Checks a numeric address without a port. Returns it as an endpoint with port 1.
  std::optional<Endpoint> CheckAddress(std::string_view aKey, std::string_view aValue);

  /// Records a violation if aCondition is false and there is none yet. The message is
  /// "<aKey>: found <aFound>, expected <aExpected>".
  void Require(bool aCondition, std::string_view aKey, std::string_view aFound,
               std::string_view aExpected);

  /// The first violation, or success.
  Result<void> Finish() const;

private:
  std::string mSource;
  std::optional<Error> mError;
  std::map<std::pair<std::string, Endpoint>, std::string> mKeyByEndpoint;
};

/// Quotes a value as JSON for a message.
std::string Quoted(std::string_view aValue);

} // namespace dandelionslip
