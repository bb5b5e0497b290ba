// Whole HTTP requests and responses.
#pragma once

#include "dandelionslip/Support/Json.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Largest body accepted by sessions, in bytes.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

/// One header field; names are lower case.
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/// Finds a header by its lower-case name; empty when absent.
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
