// Creation of HTTP/2 clients, and POST requests with them.
#include "Http2ClientPool.h"

#include "HttpResponses.h"

namespace dandelionslip {

std::shared_ptr<Http2Client> Http2ClientPool::ClientFor(const std::string& aEndpoint)
{
  const std::lock_guard lock(mMutex);
  auto& client = mClients[aEndpoint];
  if (!client) {
    if (const auto endpoint = Endpoint::Parse(aEndpoint)) {
      client = std::make_shared<Http2Client>(mLoop, endpoint.value());
    }
  }
  return client;
}

void Http2ClientPool::Post(const std::string& aEndpoint, const std::string& aPath, Bytes aBody,
                           Milliseconds aTimeout, std::function<void(Result<Bytes>)> aCallback)
{
  const auto client = ClientFor(aEndpoint);
  if (!client) {
    aCallback(Fail(ErrorCode::InvalidInput, "post " + aPath, aEndpoint,
                   "not an endpoint of the form address:port"));
    return;
  }
  HttpRequest request;
  request.mPath = aPath;
  request.mBody = std::move(aBody);
  client->Send(
    std::move(request), aTimeout,
    [aEndpoint, aPath, callback = std::move(aCallback)](Result<HttpResponse> aResult) {
      if (!aResult) {
        callback(aResult.as_failure());
        return;
      }
      constexpr int kStatusOk = 200;
      if (const int status = aResult.value().mStatus; status != kStatusOk) {
        const ErrorCode code =
          status == kStatusNotFound ? ErrorCode::NotFound : ErrorCode::Unavailable;
        callback(Fail(code, "post " + aPath, aEndpoint, "HTTP status " + std::to_string(status)));
        return;
      }
      callback(std::move(aResult.value().mBody));
    });
}

} // namespace dandelionslip
