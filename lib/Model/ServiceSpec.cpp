// Checks the rules of a service declaration that its field description cannot express.
#include "dandelionslip/Model/ServiceSpec.h"

#include "dandelionslip/Model/Endpoint.h"

#include <algorithm>
#include <array>
#include <bit>

namespace dandelionslip {

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
         aCharacter == '-';
}

} // namespace

std::span<const EnumName<TrafficClass>> EnumNames(TrafficClass)
{
  static constexpr std::array<EnumName<TrafficClass>, 3> kNames{{
    {TrafficClass::Feed, "feed"},
    {TrafficClass::Quote, "quote"},
    {TrafficClass::Bulk, "bulk"},
  }};
  return kNames;
}

Result<void> CheckServiceSpec(const ServiceSpec& aSpec, std::string_view aSource)
{
  const auto reject = [&](const std::string& aKey, const std::string& aDetail) {
    return Fail(ErrorCode::InvalidInput, "service.check", std::string(aSource),
                aKey + ": " + aDetail);
  };
  if (aSpec.mName.empty() || aSpec.mName.size() > kMaxNameLength ||
      !std::all_of(aSpec.mName.begin(), aSpec.mName.end(), IsNameCharacter)) {
    return reject("service",
                  "found \"" + aSpec.mName + "\", expected 1 to 63 characters of a-z, 0-9 and '-'");
  }
  if (aSpec.mAddresses.empty()) {
    return reject("addresses", "found an empty array, expected at least one address:port");
  }
  for (std::size_t i = 0; i < aSpec.mAddresses.size(); ++i) {
    const std::string key = "addresses[" + std::to_string(i) + "]";
    if (!Endpoint::Parse(aSpec.mAddresses[i])) {
      return reject(key, "found \"" + aSpec.mAddresses[i] + "\", expected a numeric address:port");
    }
    if (std::count(aSpec.mAddresses.begin(), aSpec.mAddresses.end(), aSpec.mAddresses[i]) > 1) {
      return reject(key, "found " + aSpec.mAddresses[i] + " twice, expected distinct addresses");
    }
  }
  if (!std::has_single_bit(aSpec.mBuckets)) {
    return reject("buckets",
                  "found " + std::to_string(aSpec.mBuckets) + ", expected a power of two");
  }
  if (aSpec.mColdLimit.mSlots > aSpec.mSlots) {
    return reject("cold_limit.slots", "found " + std::to_string(aSpec.mColdLimit.mSlots) +
                                        ", expected at most slots_per_upstream");
  }
  if (aSpec.mColdLimit.mConnections > aSpec.mConnections) {
    return reject("cold_limit.connections", "found " +
                                              std::to_string(aSpec.mColdLimit.mConnections) +
                                              ", expected at most connections_per_upstream");
  }
  return Ok();
}

} // namespace dandelionslip
