// HTTP/2 clients by endpoint, created on first use.
#pragma once

#include "dandelionslip/Net/Http2Client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace dandelionslip {

/// Keeps one client for each peer. Thread-safe.
class PeerClients
{
public:
  explicit PeerClients(boost::asio::io_context& aLoop)
    : mLoop(aLoop)
  {
  }

  /// The client of an "address:port" endpoint, or null when the text is not an endpoint.
  std::shared_ptr<Http2Client> For(const std::string& aEndpoint);

  /// Sends a CBOR body with POST; the callback gets the response body of status 200.
  void Post(const std::string& aEndpoint, const std::string& aPath, Bytes aBody,
            Milliseconds aTimeout, std::function<void(Result<Bytes>)> aCallback);

private:
  boost::asio::io_context& mLoop;
  std::mutex mMutex;
  std::map<std::string, std::shared_ptr<Http2Client>> mClients;
};

} // namespace dandelionslip
