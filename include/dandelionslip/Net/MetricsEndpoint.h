// HTTP/1.1 server for the metrics of a process.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Support/Metrics.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Renders the registry and the CPU and memory usage of the process in the Prometheus text format.
HttpResponse RenderMetrics(const MetricsRegistry& aRegistry);

/// Responds to /metrics with RenderMetrics and to other paths with status 404.
class MetricsEndpoint
{
public:
  /// aRefresh is called before each rendering to update gauges that are computed on demand.
  static Result<std::unique_ptr<MetricsEndpoint>> Listen(boost::asio::io_context& aLoop,
                                                         const Endpoint& aEndpoint,
                                                         const MetricsRegistry& aRegistry,
                                                         std::function<void()> aRefresh);
  ~MetricsEndpoint();

private:
  struct State;
  explicit MetricsEndpoint(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
