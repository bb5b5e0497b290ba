// Metrics endpoint on Http1Server.
#include "dandelionslip/Net/MetricsEndpoint.h"

#include "dandelionslip/Net/Http1Server.h"
#include "dandelionslip/Support/ProcessUsage.h"

namespace dandelionslip {

namespace {

constexpr int kStatusNotFound = 404;

std::string RenderProcessUsage()
{
  const ProcessUsage usage = ReadProcessUsage();
  return "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total " +
         std::to_string(usage.mCpuSeconds) +
         "\n# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes " +
         std::to_string(usage.mResidentBytes) + "\n";
}

} // namespace

struct MetricsEndpoint::State
{
  std::unique_ptr<Http1Server> mServer;
};

HttpResponse RenderMetrics(const MetricsRegistry& aRegistry)
{
  HttpResponse response;
  response.mHeaders.push_back({"content-type", "text/plain; version=0.0.4"});
  const std::string text = aRegistry.Render() + RenderProcessUsage();
  response.mBody.assign(text.begin(), text.end());
  return response;
}

Result<std::unique_ptr<MetricsEndpoint>> MetricsEndpoint::Listen(boost::asio::io_context& aLoop,
                                                                 const Endpoint& aEndpoint,
                                                                 const MetricsRegistry& aRegistry,
                                                                 std::function<void()> aRefresh)
{
  auto handler = [&aRegistry, refresh = std::move(aRefresh)](const auto& aExchange) {
    HttpResponse response;
    response.mStatus = kStatusNotFound;
    if (aExchange->Request().mPath == "/metrics") {
      refresh();
      response = RenderMetrics(aRegistry);
    }
    aExchange->Respond(std::move(response));
  };
  auto server = Http1Server::Listen(aLoop, aEndpoint, std::move(handler));
  if (!server) {
    return server.as_failure();
  }
  auto state = std::make_shared<State>();
  state->mServer = std::move(server.value());
  return std::unique_ptr<MetricsEndpoint>(new MetricsEndpoint(std::move(state)));
}

MetricsEndpoint::MetricsEndpoint(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

MetricsEndpoint::~MetricsEndpoint() = default;

} // namespace dandelionslip
