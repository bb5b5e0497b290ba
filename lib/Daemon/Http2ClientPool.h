// HTTP/2 clients by endpoint, created on first use.
#pragma once

#include "dandelionslip/Net/Http2Client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace dandelionslip {

/// Keeps one client for each endpoint. Thread-safe.
class Http2ClientPool
{
public:
  explicit Http2ClientPool(boost::asio::io_context& aLoop)
    : mLoop(aLoop)
  {
  }

  /// The client of an "address:port" endpoint, or null when the text is not an endpoint.
  std::shared_ptr<Http2Client> ClientFor(const std::string& aEndpoint);

  /// Sends a CBOR body with POST. The callback gets the response body, or an error if the status is
  /// not 200.
  void Post(const std::string& aEndpoint, const std::string& aPath, Bytes aBody,
            Milliseconds aTimeout, std::function<void(Result<Bytes>)> aCallback);

private:
  boost::asio::io_context& mLoop;
  std::mutex mMutex;
  std::map<std::string, std::shared_ptr<Http2Client>> mClients;
};

} // namespace dandelionslip
