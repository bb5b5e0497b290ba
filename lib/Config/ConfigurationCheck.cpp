// Errors, contradictions and differences of service files.
#include "dandelionslip/Config/ConfigurationCheck.h"

#include "ServiceFileIndex.h"

#include "dandelionslip/Config/TextFile.h"
#include "dandelionslip/Control/ConfigurationStoreState.h"
#include "dandelionslip/Model/Endpoint.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::string_view kTopLevel = "top level";
constexpr std::string_view kPosition = "line ";

// The place at the start of an error of the reader, "PLACE: text", where PLACE is a key path or a
// position in the text.
std::string_view PlaceIn(std::string_view aDetail)
{
  const auto end = aDetail.find(": ");
  if (end == std::string_view::npos) {
    return {};
  }
  const std::string_view place = aDetail.substr(0, end);
  const bool isPlace = place == kTopLevel || place.starts_with(kPosition) ||
                       place.find_first_of(" \"") == std::string_view::npos;
  return isPlace ? place : std::string_view{};
}

// Whether no packet of a caller can have the address as its destination: unspecified, multicast,
// reserved and broadcast addresses.
bool IsUnreachable(const Endpoint& aEndpoint)
{
  constexpr std::uint32_t kFirstV4 = 0x01000000;        // 0.0.0.0/8 names no destination.
  constexpr std::uint32_t kFirstMulticast = 0xe0000000; // 224.0.0.0/4, then reserved addresses.
  constexpr std::uint8_t kV6Multicast = 0xff;
  if (aEndpoint.IsV4()) {
    return aEndpoint.V4Address() < kFirstV4 || aEndpoint.V4Address() >= kFirstMulticast;
  }
  return aEndpoint.mAddress.front() == kV6Multicast ||
         std::all_of(aEndpoint.mAddress.begin(), aEndpoint.mAddress.end(),
                     [](std::uint8_t aByte) { return aByte == 0; });
}

std::string AddressKey(std::size_t aIndex)
{
  return "addresses[" + std::to_string(aIndex) + "]";
}

// Adds the values of an object by key path; arrays are values.
void Flatten(const Json& aObject, const std::string& aPrefix, std::map<std::string, Json>& aValues)
{
  for (const auto& [key, value] : aObject.items()) {
    if (value.is_object()) {
      Flatten(value, aPrefix + key + ".", aValues);
    } else {
      aValues[aPrefix + key] = value;
    }
  }
}

std::map<std::string, Json> ValuesOf(const ServiceSpec& aSpec)
{
  std::map<std::string, Json> values;
  Flatten(ToJson(aSpec), "", values);
  return values;
}

} // namespace

std::string ConfigurationFinding::ToString() const
{
  return mFile + ": " + mPath + (mLevel == FindingLevel::Error ? ": error: " : ": warning: ") +
         mText;
}

std::string ServiceDifference::ToString() const
{
  return mFile + ": " + mPath + ": difference: in force " + mInForce + ", found " + mFound;
}

ConfigurationCheck::ConfigurationCheck()
  : mIndex(std::make_unique<ServiceFileIndex>())
{
}

ConfigurationCheck::~ConfigurationCheck() = default;

bool ConfigurationCheck::HasErrors() const
{
  return std::any_of(mFindings.begin(), mFindings.end(),
                     [](const auto& aFinding) { return aFinding.mLevel == FindingLevel::Error; });
}

void ConfigurationCheck::Report(const ServiceFile& aFile, std::string aPath, FindingLevel aLevel,
                                std::string aText)
{
  mFindings.push_back({aFile.mPath, std::move(aPath), aLevel, std::move(aText)});
}

Result<void> ConfigurationCheck::AddFile(const std::string& aPath)
{
  const auto text = ReadTextFile(aPath);
  if (!text) {
    return text.as_failure();
  }
  AddText(aPath, text.value());
  return Ok();
}

void ConfigurationCheck::AddText(const std::string& aPath, std::string_view aText)
{
  auto spec = ParseServiceSpec(aText, aPath);
  if (!spec) {
    const std::string& detail = spec.error().mDetail;
    const std::string_view place = PlaceIn(detail);
    mFindings.push_back({aPath, std::string(place.empty() ? kTopLevel : place), FindingLevel::Error,
                         place.empty() ? detail : detail.substr(place.size() + 2)});
    return;
  }
  const ServiceFile file{aPath, std::move(spec.value())};
  for (const ServiceFileConflict& conflict : mIndex->AddAll(file)) {
    Report(file, conflict.mKey, FindingLevel::Error, conflict.mDetail);
  }
  CheckAddresses(file);
  CheckLimits(file);
  mFiles.push_back(file);
}

void ConfigurationCheck::CheckAddresses(const ServiceFile& aFile)
{
  if (aFile.mSpec.mAddresses.size() > kMaxAddressesPerService) {
    Report(aFile, "addresses", FindingLevel::Error,
           "found " + std::to_string(aFile.mSpec.mAddresses.size()) + ", expected at most " +
             std::to_string(kMaxAddressesPerService));
  }
  for (std::size_t i = 0; i < aFile.mSpec.mAddresses.size(); ++i) {
    const std::string& address = aFile.mSpec.mAddresses[i];
    if (IsUnreachable(Endpoint::Parse(address).value())) {
      Report(aFile, AddressKey(i), FindingLevel::Warning,
             "found \"" + address + "\", to which no caller can send");
    }
  }
}

// The reader has checked that no cold limit exceeds the warm one.
void ConfigurationCheck::CheckLimits(const ServiceFile& aFile)
{
  const ServiceSpec& spec = aFile.mSpec;
  const auto warn = [&](std::string aPath, std::uint64_t aFound, const std::string& aText) {
    Report(aFile, std::move(aPath), FindingLevel::Warning,
           "found " + std::to_string(aFound) + ", " + aText);
  };
  if (spec.mRequestTimeout > spec.mFlowIdleTimeout) {
    warn("request_timeout_ms", static_cast<std::uint64_t>(spec.mRequestTimeout.count()),
         "above flow_idle_timeout_ms (" + std::to_string(spec.mFlowIdleTimeout.count()) +
           "): a flow may be closed as idle before its request is answered");
  }
  struct Level
  {
    const char* mSlotsKey;
    const char* mConnectionsKey;
    std::uint32_t mSlots;
    std::uint32_t mConnections;
  };
  const std::array<Level, 2> levels{
    {{"slots_per_upstream", "connections_per_upstream", spec.mSlots, spec.mConnections},
     {"cold_limit.slots", "cold_limit.connections", spec.mColdLimit.mSlots,
      spec.mColdLimit.mConnections}}};
  for (const Level& level : levels) {
    if (level.mSlots > level.mConnections) {
      warn(level.mSlotsKey, level.mSlots,
           std::string("above ") + level.mConnectionsKey + " (" +
             std::to_string(level.mConnections) +
             "): flows with one request at a time cannot use all slots");
    }
  }
  // Requests that run until their timeout need the fewest flows. Rounded up.
  constexpr std::uint64_t kMsPerSecond = 1'000;
  const auto timeout = static_cast<std::uint64_t>(spec.mRequestTimeout.count());
  const std::uint64_t needed = (spec.mSlots * kMsPerSecond + timeout - 1) / timeout;
  if (spec.mOpensPerSecond < needed) {
    warn("opens_per_second", spec.mOpensPerSecond,
         "below " + std::to_string(needed) +
           ": flows with one request each cannot use all slots (slots_per_upstream " +
           std::to_string(spec.mSlots) + ") even if each request runs for request_timeout_ms (" +
           std::to_string(timeout) + ")");
  }
}

void ConfigurationCheck::CompareWith(const Configuration& aCurrent)
{
  for (const ServiceFile& file : mFiles) {
    const ServiceEntry* entry = aCurrent.FindService(file.mSpec.mName);
    if (entry != nullptr && entry->mSpec == file.mSpec) {
      continue;
    }
    CheckVersion(file, entry);
    CheckAddressesInForce(file, aCurrent);
    CollectDifferences(file, entry);
  }
}

void ConfigurationCheck::CheckVersion(const ServiceFile& aFile, const ServiceEntry* aEntry)
{
  const std::uint64_t inForce = aEntry == nullptr ? 0 : aEntry->mSpec.mVersion;
  if (aFile.mSpec.mVersion != inForce + 1) {
    Report(aFile, "version", FindingLevel::Error,
           "found " + std::to_string(aFile.mSpec.mVersion) + ", expected " +
             std::to_string(inForce + 1) + ", because " +
             (aEntry == nullptr ? "the service does not exist yet"
                                : std::to_string(inForce) + " is in force"));
  }
  if (aEntry != nullptr && aFile.mSpec.mBuckets != aEntry->mSpec.mBuckets) {
    Report(aFile, "buckets", FindingLevel::Error,
           "found " + std::to_string(aFile.mSpec.mBuckets) + ", expected " +
             std::to_string(aEntry->mSpec.mBuckets) +
             ", because buckets are fixed once the service exists");
  }
}

// Addresses of services that are in the set too are compared with their new ones, by the index.
void ConfigurationCheck::CheckAddressesInForce(const ServiceFile& aFile,
                                               const Configuration& aCurrent)
{
  std::set<std::string> namesInSet;
  for (const ServiceFile& file : mFiles) {
    namesInSet.insert(file.mSpec.mName);
  }
  std::map<Endpoint, std::string> services;
  for (const auto& [name, entry] : aCurrent.mServices) {
    if (namesInSet.contains(name)) {
      continue;
    }
    for (const std::string& address : entry.mSpec.mAddresses) {
      if (const auto endpoint = Endpoint::Parse(address)) {
        services.emplace(endpoint.value(), name);
      }
    }
  }
  for (std::size_t i = 0; i < aFile.mSpec.mAddresses.size(); ++i) {
    const std::string& address = aFile.mSpec.mAddresses[i];
    if (const auto found = services.find(Endpoint::Parse(address).value());
        found != services.end()) {
      Report(aFile, AddressKey(i), FindingLevel::Error,
             "found \"" + address + "\", which service " + found->second + " has in force");
    }
  }
}

void ConfigurationCheck::CollectDifferences(const ServiceFile& aFile, const ServiceEntry* aEntry)
{
  if (aEntry == nullptr) {
    mDifferences.push_back({aFile.mPath, "service", "nothing", Json(aFile.mSpec.mName).dump()});
    return;
  }
  const auto inForce = ValuesOf(aEntry->mSpec);
  for (const auto& [path, found] : ValuesOf(aFile.mSpec)) {
    if (inForce.at(path) != found) {
      mDifferences.push_back({aFile.mPath, path, inForce.at(path).dump(), found.dump()});
    }
  }
}

} // namespace dandelionslip
