// Settings of dandelionslip-balancer.
#pragma once

#include "dandelionslip/Config/CommonSettings.h"

#include <string>

namespace dandelionslip {

/// The settings file of a balancer.
struct BalancerSettings : CommonSettings
{
  std::string mDatagramEndpoint; ///< UDP "address:port" for agents.
  std::string mRequestEndpoint;  ///< TCP "address:port" for HTTP/2 from other nodes.
  /// Numeric address on which the balancer listens at the services' ports. If empty, it listens on
  /// each service's own address.
  std::string mListenAddress;

  bool operator==(const BalancerSettings&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, BalancerSettings& aValue)
{
  DescribeCommonFields(aVisitor, aValue);
  aVisitor.Field("datagram_endpoint", aValue.mDatagramEndpoint);
  aVisitor.Field("request_endpoint", aValue.mRequestEndpoint);
  aVisitor.Optional("listen_address", aValue.mListenAddress);
}

} // namespace dandelionslip
