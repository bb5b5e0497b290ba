// Checks of values that the field descriptions cannot express.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Support/Error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionslip {

/// Collects the first violation in one settings file.
class KeyChecks
{
public:
  explicit KeyChecks(std::string_view aSource)
    : mSource(aSource)
  {
  }

  /// A name of a node, data centre or service: 1 to 63 characters of a-z, 0-9 and '-'.
  void Name(std::string_view aKey, std::string_view aValue);

  /// A numeric address:port that no earlier key of the same transport uses.
  void LocalEndpoint(std::string_view aKey, std::string_view aValue, std::string_view aTransport);

  /// A numeric address:port of another process.
  std::optional<Endpoint> RemoteEndpoint(std::string_view aKey, std::string_view aValue);

  /// A numeric address without a port.
  std::optional<Endpoint> Address(std::string_view aKey, std::string_view aValue);

  /// Refuses a value; aExpected completes "found ..., expected ...".
  void Require(bool aCondition, std::string_view aKey, std::string_view aFound,
               std::string_view aExpected);

  /// The first violation, or success.
  Result<void> Finish() const;

private:
  std::string mSource;
  std::optional<Error> mError;
  std::map<std::pair<std::string, Endpoint>, std::string> mLocal;
};

/// Quotes a value as JSON for a message.
std::string Quoted(std::string_view aValue);

} // namespace dandelionslip
