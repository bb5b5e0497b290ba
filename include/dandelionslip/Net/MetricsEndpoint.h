// HTTP/1.1 endpoint that serves the metrics of a process.
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

/// The registry and the process's own usage in the text exposition format.
HttpResponse RenderMetrics(const MetricsRegistry& aRegistry);

/// Answers GET /metrics with the text exposition format.
class MetricsEndpoint
{
public:
  /// aRefresh runs before each rendering, for gauges that are computed on demand.
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
