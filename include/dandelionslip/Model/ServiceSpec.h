// The declaration of one service, as operators write it in a service file.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

/// Scheduling class of a service's requests. Earlier classes are served first.
enum class TrafficClass
{
  Feed,
  Quote,
  Bulk,
};

std::span<const EnumName<TrafficClass>> EnumNames(TrafficClass);

/// Load limit of a cold upstream at the start of its ramp.
struct ColdLimit
{
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 100;

  bool operator==(const ColdLimit&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ColdLimit& aValue)
{
  aVisitor.Optional("slots", aValue.mSlots, {1, 100000});
  aVisitor.Optional("connections", aValue.mConnections, {1, 10000000});
}

/// The content of one service file.
struct ServiceSpec
{
  std::string mName;
  std::uint64_t mVersion = 1;          ///< Must be one more than the current version.
  std::vector<std::string> mAddresses; ///< Numeric "address:port" to which callers send.
  std::uint32_t mSlots = 4;          ///< Maximum number of requests that an upstream runs at once.
  std::uint32_t mConnections = 2000; ///< Maximum number of flows that an upstream holds.
  ColdLimit mColdLimit;
  std::uint32_t mBuckets = 1024; ///< Power of two; cannot be changed later.
  bool mIdempotent = false;      ///< Whether requests may run more than once.
  TrafficClass mTrafficClass = TrafficClass::Quote;
  Milliseconds mFlowIdleTimeout{600'000};
  Milliseconds mRequestTimeout{5'000};
  std::uint32_t mOpensPerSecond = 500; ///< New flows a second that one upstream accepts.

  bool operator==(const ServiceSpec&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ServiceSpec& aValue)
{
  aVisitor.Field("service", aValue.mName);
  aVisitor.Field("version", aValue.mVersion, {1, 1'000'000'000});
  aVisitor.Field("addresses", aValue.mAddresses);
  aVisitor.Optional("slots_per_upstream", aValue.mSlots, {1, 100'000});
  aVisitor.Optional("connections_per_upstream", aValue.mConnections, {1, 10'000'000});
  aVisitor.Optional("cold_limit", aValue.mColdLimit);
  aVisitor.Optional("buckets", aValue.mBuckets, {16, 65'536});
  aVisitor.Optional("idempotent", aValue.mIdempotent);
  aVisitor.Optional("traffic_class", aValue.mTrafficClass);
  aVisitor.Optional("flow_idle_timeout_ms", aValue.mFlowIdleTimeout, {1'000, 86'400'000});
  aVisitor.Optional("request_timeout_ms", aValue.mRequestTimeout, {10, 600'000});
  aVisitor.Optional("opens_per_second", aValue.mOpensPerSecond, {1, 1'000'000});
}

/// Checks rules that the field description cannot express. Errors (InvalidInput) name aSource and
/// the key.
Result<void> CheckServiceSpec(const ServiceSpec& aSpec, std::string_view aSource);

} // namespace dandelionslip
