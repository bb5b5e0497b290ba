// Settings that balancers, agents and control replicas have in common.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/Log.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

std::span<const EnumName<LogLevel>> EnumNames(LogLevel);

/// Settings of every daemon. LoadSettings has checked the endpoints, so Endpoint::Parse succeeds on
/// each of them.
struct CommonSettings
{
  std::string mNode;       ///< Unique name; for an agent the name of its upstream.
  std::string mDataCentre; ///< Data centre in which the process runs.
  LogLevel mLogLevel = LogLevel::Info;
  std::string mMetricsEndpoint;               ///< TCP "address:port"; empty for no endpoint.
  std::vector<std::string> mControlEndpoints; ///< TCP "address:port" in order of preference.
  Milliseconds mAnnounceInterval{500};
  Milliseconds mStopDeadline{10'000}; ///< Longest duration of a planned stop.
  std::uint32_t mWorkers = 2;         ///< Threads that process traffic.

  bool operator==(const CommonSettings&) const = default;
};

template <typename V>
void DescribeCommonFields(V& aVisitor, CommonSettings& aValue)
{
  aVisitor.Field("node", aValue.mNode);
  aVisitor.Field("data_centre", aValue.mDataCentre);
  aVisitor.Optional("log_level", aValue.mLogLevel);
  aVisitor.Optional("metrics_endpoint", aValue.mMetricsEndpoint);
  aVisitor.Optional("control_endpoints", aValue.mControlEndpoints);
  aVisitor.Optional("announce_interval_ms", aValue.mAnnounceInterval, {50, 10'000});
  aVisitor.Optional("stop_deadline_ms", aValue.mStopDeadline, {100, 600'000});
  aVisitor.Optional("workers", aValue.mWorkers, {1, 64});
}

} // namespace dandelionslip
