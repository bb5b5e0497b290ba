// Answers of the daemons' HTTP/2 endpoints.
#pragma once

#include "dandelionslip/Net/Http2Server.h"
#include "dandelionslip/Support/Fields.h"

namespace dandelionslip {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusUnavailable = 503;

/// Answers with a CBOR body.
template <typename T>
void RespondCbor(HttpExchange& aExchange, const T& aValue)
{
  HttpResponse response;
  response.mBody = ToCbor(aValue);
  aExchange.Respond(std::move(response));
}

/// Answers with a status and the error as text.
inline void RespondError(HttpExchange& aExchange, int aStatus, const std::string& aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody.assign(aText.begin(), aText.end());
  aExchange.Respond(std::move(response));
}

} // namespace dandelionslip
