// Checks commands and computes the configuration that they lead to.
#include "CommandRules.h"

#include "dandelionslip/Model/Endpoint.h"

#include <algorithm>
#include <optional>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kMaxDataCentreLength = 63;
constexpr std::size_t kMaxUpstreamLength = 255;

using ErrorAnswer = std::optional<CommandAnswer>;

CommandAnswer Refuse(std::string aDetail)
{
  return {CommandOutcome::Refused, 0, std::move(aDetail)};
}

bool IsLabel(std::string_view aText, std::size_t aMaxLength)
{
  return !aText.empty() && aText.size() <= aMaxLength &&
         std::all_of(aText.begin(), aText.end(),
                     [](char aCharacter) { return aCharacter > ' ' && aCharacter < '\x7f'; });
}

std::string ServicePath(std::size_t aPosition)
{
  return "services[" + std::to_string(aPosition) + "]";
}

// CheckServiceSpec checks the rules between keys. Encoding and decoding the spec checks the range
// of each key.
Result<void> CheckSpec(const ServiceSpec& aSpec, const std::string& aSource)
{
  if (auto check = CheckServiceSpec(aSpec, aSource); !check) {
    return check;
  }
  if (const auto decoded = FromJson<ServiceSpec>(ToJson(aSpec), aSource); !decoded) {
    return decoded.as_failure();
  }
  if (aSpec.mAddresses.size() > kMaxAddressesPerService) {
    return Fail(ErrorCode::LimitExceeded, "service.check", aSource,
                "addresses: found " + std::to_string(aSpec.mAddresses.size()) +
                  ", expected at most " + std::to_string(kMaxAddressesPerService));
  }
  return Ok();
}

ErrorAnswer CheckChangeForm(const ServiceChange& aChange, const std::string& aPath)
{
  if (!aChange.mSpec) {
    return aChange.mExpectedVersion > 0
             ? ErrorAnswer()
             : Refuse(aPath + ".expected_version: found 0, expected the version to delete");
  }
  if (aChange.mSpec->mName != aChange.mName) {
    return Refuse(aPath + ".spec.service: found \"" + aChange.mSpec->mName + "\", expected \"" +
                  aChange.mName + "\"");
  }
  if (aChange.mSpec->mVersion != aChange.mExpectedVersion + 1) {
    return Refuse(aPath + ".spec.version: found " + std::to_string(aChange.mSpec->mVersion) +
                  ", expected " + std::to_string(aChange.mExpectedVersion + 1));
  }
  auto check = CheckSpec(*aChange.mSpec, aPath);
  return check ? ErrorAnswer() : Refuse(check.error().Message());
}

ErrorAnswer CheckServicesForm(const Command& aCommand)
{
  std::set<std::string> names;
  for (std::size_t i = 0; i < aCommand.mServices.size(); ++i) {
    const ServiceChange& change = aCommand.mServices[i];
    if (!names.insert(change.mName).second) {
      return Refuse(ServicePath(i) + ".name: found \"" + change.mName +
                    "\" twice, expected distinct names");
    }
    if (auto errorAnswer = CheckChangeForm(change, ServicePath(i))) {
      return errorAnswer;
    }
  }
  return {};
}

ErrorAnswer CheckForm(const Command& aCommand)
{
  if (aCommand.mServices.empty() && !aCommand.mDataCentre && !aCommand.mDrain &&
      !aCommand.mRoutes) {
    return Refuse("the command holds no change");
  }
  if (aCommand.mOperator.size() > kMaxOperatorLength) {
    return Refuse("operator: found " + std::to_string(aCommand.mOperator.size()) +
                  " characters, expected at most " + std::to_string(kMaxOperatorLength));
  }
  if (aCommand.mDataCentre && !IsLabel(aCommand.mDataCentre->mName, kMaxDataCentreLength)) {
    return Refuse("data_centre.name: expected 1 to " + std::to_string(kMaxDataCentreLength) +
                  " printable characters without spaces");
  }
  if (aCommand.mDrain && !IsLabel(aCommand.mDrain->mUpstream, kMaxUpstreamLength)) {
    return Refuse("drain.upstream: expected 1 to " + std::to_string(kMaxUpstreamLength) +
                  " printable characters without spaces");
  }
  if (aCommand.mRoutes) {
    if (const auto check = CheckRouteTable(aCommand.mRoutes->mTable); !check) {
      return Refuse(check.error().Message());
    }
  }
  return CheckServicesForm(aCommand);
}

CommandAnswer Conflict(const std::string& aWhat, std::uint64_t aExpected, std::uint64_t aFound,
                       const std::map<std::string, LastWriter>& aWriters, const std::string& aName)
{
  std::string detail = aWhat + " " + aName + ": expected version " + std::to_string(aExpected) +
                       ", found " + std::to_string(aFound);
  if (const auto writer = aWriters.find(aName); writer != aWriters.end()) {
    detail += "; won by publication " + writer->second.mPublicationId + " of operator " +
              writer->second.mOperator + " at revision " + std::to_string(writer->second.mRevision);
  }
  return {CommandOutcome::Conflict, 0, std::move(detail)};
}

ErrorAnswer CheckVersions(const ConfigurationStoreState& aState, const Command& aCommand)
{
  for (const ServiceChange& change : aCommand.mServices) {
    const ServiceEntry* entry = aState.mConfiguration.FindService(change.mName);
    const std::uint64_t found = entry != nullptr ? entry->mSpec.mVersion : 0;
    if (found != change.mExpectedVersion) {
      return Conflict("service", change.mExpectedVersion, found, aState.mServiceWriters,
                      change.mName);
    }
  }
  if (aCommand.mDataCentre && aCommand.mDataCentre->mExpectedVersion) {
    const auto& states = aState.mConfiguration.mDataCentres;
    const auto state = states.find(aCommand.mDataCentre->mName);
    const std::uint64_t found = state != states.end() ? state->second.mVersion : 0;
    if (found != *aCommand.mDataCentre->mExpectedVersion) {
      return Conflict("data centre", *aCommand.mDataCentre->mExpectedVersion, found,
                      aState.mDataCentreWriters, aCommand.mDataCentre->mName);
    }
  }
  return {};
}

ErrorAnswer ApplyServiceChange(Configuration& aNext, std::uint64_t aIndex,
                               const ServiceChange& aChange, const std::string& aPath)
{
  if (!aChange.mSpec) {
    aNext.mServices.erase(aChange.mName);
    return {};
  }
  const auto [entry, isNew] = aNext.mServices.try_emplace(aChange.mName);
  if (isNew) {
    entry->second.mId = aIndex;
  } else if (entry->second.mSpec.mBuckets != aChange.mSpec->mBuckets) {
    return Refuse(aPath + ".spec.buckets: found " + std::to_string(aChange.mSpec->mBuckets) +
                  ", expected " + std::to_string(entry->second.mSpec.mBuckets) +
                  ", because buckets are fixed once the service exists");
  }
  entry->second.mSpec = *aChange.mSpec;
  return {};
}

void ApplyOtherChanges(Configuration& aNext, const Command& aCommand)
{
  if (aCommand.mDataCentre) {
    DataCentreState& state = aNext.mDataCentres[aCommand.mDataCentre->mName];
    state.mOutOfService = aCommand.mDataCentre->mOutOfService;
    ++state.mVersion;
  }
  if (aCommand.mRoutes && aCommand.mRoutes->mTable.mVersion > aNext.mRoutes.mVersion) {
    aNext.mRoutes = aCommand.mRoutes->mTable;
  }
  if (!aCommand.mDrain) {
    return;
  }
  if (aCommand.mDrain->mDrained) {
    aNext.mDrained[aCommand.mDrain->mUpstream] = true;
  } else {
    aNext.mDrained.erase(aCommand.mDrain->mUpstream);
  }
}

Result<void> CheckAddresses(const Configuration& aConfiguration)
{
  // Keyed by the canonical text: one endpoint has several spellings.
  std::map<std::string, std::string> serviceByAddress;
  for (const auto& [name, entry] : aConfiguration.mServices) {
    for (const std::string& address : entry.mSpec.mAddresses) {
      const auto endpoint = Endpoint::Parse(address);
      if (!endpoint) {
        return endpoint.as_failure();
      }
      if (const auto [known, isNew] = serviceByAddress.emplace(endpoint.value().ToString(), name);
          !isNew) {
        return Fail(ErrorCode::InvalidInput, "configuration.check", name,
                    "addresses: " + address + " belongs to service " + known->second +
                      " already, expected an address of one service only");
      }
    }
  }
  return Ok();
}

Result<void> CheckSizes(const Configuration& aConfiguration)
{
  auto check = [](const char* aKey, std::size_t aFound, std::size_t aMost) -> Result<void> {
    if (aFound > aMost) {
      return Fail(ErrorCode::LimitExceeded, "configuration.check", "",
                  std::string(aKey) + ": found " + std::to_string(aFound) +
                    " entries, expected at most " + std::to_string(aMost));
    }
    return Ok();
  };
  if (auto result = check("services", aConfiguration.mServices.size(), kMaxServices); !result) {
    return result;
  }
  if (auto result = check("data_centres", aConfiguration.mDataCentres.size(), kMaxDataCentres);
      !result) {
    return result;
  }
  return check("drained", aConfiguration.mDrained.size(), kMaxDrained);
}

} // namespace

bool IsPublicationId(std::string_view aText)
{
  if (aText.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
    const char c = aText[i];
    const bool isHex = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    if (isDash ? c != '-' : !isHex) {
      return false;
    }
  }
  return true;
}

Result<void> CheckConfiguration(const Configuration& aConfiguration)
{
  for (const auto& [name, entry] : aConfiguration.mServices) {
    if (entry.mSpec.mName != name || entry.mId == 0 || entry.mId > aConfiguration.mRevision) {
      return Fail(ErrorCode::InvalidInput, "configuration.check", name,
                  "the service name of the spec differs from its key, or the id is not between 1 "
                  "and the revision");
    }
    if (auto check = CheckSpec(entry.mSpec, name); !check) {
      return check;
    }
  }
  if (auto check = CheckSizes(aConfiguration); !check) {
    return check;
  }
  return CheckAddresses(aConfiguration);
}

std::variant<Configuration, CommandAnswer> Evaluate(const ConfigurationStoreState& aState,
                                                    std::uint64_t aIndex, const Command& aCommand)
{
  if (auto errorAnswer = CheckForm(aCommand)) {
    return std::move(*errorAnswer);
  }
  if (auto errorAnswer = CheckVersions(aState, aCommand)) {
    return std::move(*errorAnswer);
  }
  Configuration next = aState.mConfiguration;
  next.mRevision = aIndex;
  for (std::size_t i = 0; i < aCommand.mServices.size(); ++i) {
    if (auto errorAnswer =
          ApplyServiceChange(next, aIndex, aCommand.mServices[i], ServicePath(i))) {
      return std::move(*errorAnswer);
    }
  }
  ApplyOtherChanges(next, aCommand);
  if (auto check = CheckSizes(next); !check) {
    return Refuse(check.error().Message());
  }
  if (auto check = CheckAddresses(next); !check) {
    return Refuse(check.error().Message());
  }
  return next;
}

} // namespace dandelionslip
