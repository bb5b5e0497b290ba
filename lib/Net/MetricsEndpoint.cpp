// Metrics endpoint on Boost.Beast.
#include "dandelionslip/Net/MetricsEndpoint.h"

#include "AsioEndpoint.h"

#include "dandelionslip/Support/ProcessUsage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace dandelionslip {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kConnectionTimeout{5};

std::string RenderProcess()
{
  const ProcessUsage usage = ReadProcessUsage();
  return "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total " +
         std::to_string(usage.mCpuSeconds) +
         "\n# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes " +
         std::to_string(usage.mResidentBytes) + "\n";
}

// One connection: a request, its answer, close.
struct Connection : std::enable_shared_from_this<Connection>
{
  explicit Connection(tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  http::request<http::empty_body> mRequest;
  http::response<http::string_body> mResponse;
};

} // namespace

struct MetricsEndpoint::State : std::enable_shared_from_this<MetricsEndpoint::State>
{
  State(asio::io_context& aLoop, const MetricsRegistry& aRegistry, std::function<void()> aRefresh)
    : mAcceptor(asio::make_strand(aLoop))
    , mRegistry(aRegistry)
    , mRefresh(std::move(aRefresh))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (!self->mAcceptor.is_open()) {
          return;
        }
        if (!aError) {
          self->Serve(std::make_shared<Connection>(std::move(aSocket)));
        }
        self->Accept();
      });
  }

  void Serve(const std::shared_ptr<Connection>& aConnection)
  {
    aConnection->mStream.expires_after(kConnectionTimeout);
    http::async_read(
      aConnection->mStream, aConnection->mBuffer, aConnection->mRequest,
      [self = shared_from_this(), aConnection](boost::system::error_code aError, std::size_t) {
        if (!aError) {
          self->Answer(aConnection);
        }
      });
  }

  void Answer(const std::shared_ptr<Connection>& aConnection)
  {
    auto& response = aConnection->mResponse;
    const bool found = aConnection->mRequest.target() == "/metrics";
    response.result(found ? http::status::ok : http::status::not_found);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(false);
    if (found) {
      mRefresh();
      response.body() = mRegistry.Render() + RenderProcess();
    }
    response.prepare_payload();
    http::async_write(aConnection->mStream, response,
                      [aConnection](boost::system::error_code, std::size_t) {
                        boost::system::error_code ignored;
                        aConnection->mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
                      });
  }

  tcp::acceptor mAcceptor;
  const MetricsRegistry& mRegistry;
  std::function<void()> mRefresh;
};

Result<std::unique_ptr<MetricsEndpoint>> MetricsEndpoint::Listen(asio::io_context& aLoop,
                                                                 const Endpoint& aEndpoint,
                                                                 const MetricsRegistry& aRegistry,
                                                                 std::function<void()> aRefresh)
{
  auto state = std::make_shared<State>(aLoop, aRegistry, std::move(aRefresh));
  const auto local = ToAsio<tcp>(aEndpoint);
  boost::system::error_code error;
  state->mAcceptor.open(local.protocol(), error);
  if (!error) {
    state->mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    state->mAcceptor.bind(local, error);
  }
  if (!error) {
    state->mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::Io, "metrics.listen", aEndpoint.ToString(), error.message());
  }
  state->Accept();
  return std::unique_ptr<MetricsEndpoint>(new MetricsEndpoint(std::move(state)));
}

MetricsEndpoint::MetricsEndpoint(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

MetricsEndpoint::~MetricsEndpoint()
{
  asio::post(mState->mAcceptor.get_executor(), [state = mState] {
    boost::system::error_code ignored;
    state->mAcceptor.close(ignored);
  });
}

} // namespace dandelionslip
