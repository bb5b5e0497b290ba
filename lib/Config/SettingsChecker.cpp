// Checks of settings that the field descriptions cannot express.
#include "SettingsChecker.h"

#include "dandelionslip/Support/Json.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
         aCharacter == '-';
}

} // namespace

std::string Quoted(std::string_view aValue)
{
  return Json(aValue).dump(-1, ' ', false, Json::error_handler_t::replace);
}

void SettingsChecker::CheckName(std::string_view aKey, std::string_view aValue)
{
  const bool valid = !aValue.empty() && aValue.size() <= kMaxNameLength &&
                     std::all_of(aValue.begin(), aValue.end(), IsNameCharacter);
  Require(valid, aKey, Quoted(aValue), "1 to 63 characters of a-z, 0-9 and '-'");
}

void SettingsChecker::CheckDistinctEndpoint(std::string_view aKey, std::string_view aValue,
                                            std::string_view aTransport)
{
  const auto endpoint = CheckEndpoint(aKey, aValue);
  if (!endpoint) {
    return;
  }
  const auto [entry, isNew] =
    mKeyByEndpoint.emplace(std::pair(std::string(aTransport), *endpoint), std::string(aKey));
  Require(isNew, aKey, Quoted(aValue), "an endpoint other than that of " + entry->second);
}

std::optional<Endpoint> SettingsChecker::CheckEndpoint(std::string_view aKey,
                                                       std::string_view aValue)
{
  const auto endpoint = Endpoint::Parse(aValue);
  Require(endpoint.has_value(), aKey, Quoted(aValue),
          "a numeric address:port such as 192.0.2.1:80 or [2001:db8::1]:80");
  return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

std::optional<Endpoint> SettingsChecker::CheckAddress(std::string_view aKey,
                                                      std::string_view aValue)
{
  const std::string text(aValue);
  const bool isV6 = text.find(':') != std::string::npos;
  const auto endpoint = Endpoint::Parse(isV6 ? "[" + text + "]:1" : text + ":1");
  Require(endpoint.has_value(), aKey, Quoted(aValue),
          "a numeric address without a port such as 192.0.2.1 or 2001:db8::1");
  return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

void SettingsChecker::Require(bool aCondition, std::string_view aKey, std::string_view aFound,
                              std::string_view aExpected)
{
  if (aCondition || mError) {
    return;
  }
  mError = Error{ErrorCode::InvalidInput, "settings.check", mSource,
                 std::string(aKey) + ": found " + std::string(aFound) + ", expected " +
                   std::string(aExpected)};
}

Result<void> SettingsChecker::Finish() const
{
  if (mError) {
    return boost::outcome_v2::failure(*mError);
  }
  return Ok();
}

} // namespace dandelionslip
