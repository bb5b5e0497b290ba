// Settings of dandelionslip-agent.
#pragma once

#include "dandelionslip/Config/CommonSettings.h"

#include <cstdint>
#include <string>

namespace dandelionslip {

/// The settings file of an agent.
struct AgentSettings : CommonSettings
{
  std::string mService;                    ///< Name of the service that the upstream belongs to.
  std::string mDatagramEndpoint;           ///< UDP "address:port" for balancers and other agents.
  std::string mRequestEndpoint;            ///< TCP "address:port" for HTTP/2 from other nodes.
  std::string mUpstreamDatagramEndpoint;   ///< UDP "address:port" of the upstream.
  std::string mUpstreamRequestEndpoint;    ///< TCP "address:port" of the upstream.
  std::string mUpstreamHealthPath;         ///< HTTP path starting with '/'; empty for none.
  std::string mLocalAddress = "127.0.0.1"; ///< Numeric source address of traffic to the upstream.
  std::uint32_t mMaxFlows = 20'000;        ///< Largest number of flows in the flow table.
  std::uint32_t mMaxRecords = 100'000;     ///< Largest number of request records.
  std::uint32_t mMaxRecordMebibytes = 64;  ///< Maximum memory for recorded answers, in MiB.
  Milliseconds mRecordRetention{600'000};  ///< How long a request record is kept.

  bool operator==(const AgentSettings&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, AgentSettings& aValue)
{
  DescribeCommonFields(aVisitor, aValue);
  aVisitor.Field("service", aValue.mService);
  aVisitor.Field("datagram_endpoint", aValue.mDatagramEndpoint);
  aVisitor.Field("request_endpoint", aValue.mRequestEndpoint);
  aVisitor.Field("upstream_datagram_endpoint", aValue.mUpstreamDatagramEndpoint);
  aVisitor.Field("upstream_request_endpoint", aValue.mUpstreamRequestEndpoint);
  aVisitor.Optional("upstream_health_path", aValue.mUpstreamHealthPath);
  aVisitor.Optional("local_address", aValue.mLocalAddress);
  aVisitor.Optional("max_flows", aValue.mMaxFlows, {1, 10'000'000});
  aVisitor.Optional("max_records", aValue.mMaxRecords, {1, 10'000'000});
  aVisitor.Optional("max_record_mib", aValue.mMaxRecordMebibytes, {1, 4'096});
  aVisitor.Optional("record_retention_ms", aValue.mRecordRetention, {60'000, 3'600'000});
}

} // namespace dandelionslip
