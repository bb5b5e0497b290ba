// HTTP requests and responses.
#pragma once

#include "dandelionslip/Support/Json.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Largest request or response body accepted over HTTP/2, in bytes.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

/// A header field. Names are lower case.
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/// Returns the value of the header with this lower-case name; empty if there is none.
std::string_view FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string mMethod = "POST";
  std::string mPath = "/";
  std::vector<HttpHeader> mHeaders;
  Bytes mBody;
};

struct HttpResponse
{
  int mStatus = 200;
  std::vector<HttpHeader> mHeaders;
  Bytes mBody;
};

} // namespace dandelionslip
