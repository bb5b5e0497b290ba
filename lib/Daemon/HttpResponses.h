// HTTP/2 responses of the daemons.
#pragma once

#include "dandelionslip/Net/Http2Server.h"
#include "dandelionslip/Support/Fields.h"

namespace dandelionslip {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusUnavailable = 503;

/// Responds with a CBOR body.
template <typename T>
void RespondCbor(HttpExchange& aExchange, const T& aValue)
{
  HttpResponse response;
  response.mBody = ToCbor(aValue);
  aExchange.Respond(std::move(response));
}

/// Responds with an error status and a text that says what is wrong.
inline void RespondError(HttpExchange& aExchange, int aStatus, const std::string& aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody.assign(aText.begin(), aText.end());
  aExchange.Respond(std::move(response));
}

} // namespace dandelionslip
