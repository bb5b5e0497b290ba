// Conversion between replies and HTTP responses.
#include "RequestHeaders.h"

#include <array>
#include <charconv>

namespace dandelionslip {

namespace {

// Indexed by RequestOutcome.
constexpr int kStatusByOutcome[] = {200, 503, 502, 499, 421};
constexpr char kContentType[] = "content-type";
constexpr char kUpstreamStatus[] = "dslip-upstream-status";

template <typename E>
std::optional<E> FindEnum(std::string_view aName)
{
  for (const auto& [value, name] : EnumNames(E{})) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<std::uint64_t> FindNumberHeader(const std::vector<HttpHeader>& aHeaders,
                                              std::string_view aName)
{
  const auto text = FindHeader(aHeaders, aName);
  std::uint64_t number = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

HttpResponse ToResponse(const RequestReply& aReply)
{
  HttpResponse response;
  response.mStatus = kStatusByOutcome[static_cast<std::size_t>(aReply.mOutcome)];
  response.mHeaders.push_back({kHeaderOutcome, std::string(ToString(aReply.mOutcome))});
  if (aReply.mRefusal) {
    response.mHeaders.push_back({kHeaderReason, std::string(ToString(aReply.mRefusal->mReason))});
    response.mHeaders.push_back(
      {kHeaderRetryAfter, std::to_string(aReply.mRefusal->mRetryAfter.count())});
  }
  if (aReply.mDigest) {
    response.mHeaders.push_back({kHeaderDigest, std::to_string(aReply.mDigest->mLength) + "-" +
                                                  std::to_string(aReply.mDigest->mHash)});
  }
  if (aReply.mOutcome == RequestOutcome::Answered) {
    response.mHeaders.push_back({kUpstreamStatus, std::to_string(aReply.mAnswer.mStatus)});
    if (!aReply.mAnswer.mContentType.empty()) {
      response.mHeaders.push_back({kContentType, aReply.mAnswer.mContentType});
    }
    response.mStatus = static_cast<int>(aReply.mAnswer.mStatus);
    response.mBody = aReply.mAnswer.mBody;
  }
  return response;
}

AgentResponse FromResponse(HttpResponse aResponse)
{
  AgentResponse response;
  const auto& headers = aResponse.mHeaders;
  response.mOutcome =
    FindEnum<RequestOutcome>(FindHeader(headers, kHeaderOutcome)).value_or(RequestOutcome::Unknown);
  if (const auto reason = FindEnum<RefusalReason>(FindHeader(headers, kHeaderReason))) {
    response.mRefusal =
      Refusal{*reason, Milliseconds(static_cast<std::int64_t>(
                         FindNumberHeader(headers, kHeaderRetryAfter).value_or(0)))};
  }
  response.mReceived = ToReceivedAnswer(std::move(aResponse));
  return response;
}

ReceivedAnswer ToReceivedAnswer(HttpResponse aResponse)
{
  ReceivedAnswer received;
  received.mAnswer.mStatus = static_cast<std::uint32_t>(aResponse.mStatus);
  received.mAnswer.mContentType = FindHeader(aResponse.mHeaders, kContentType);
  received.mDeclaredLength = FindNumberHeader(aResponse.mHeaders, "content-length");
  // The HTTP/2 client delivers only messages that ended with END_STREAM.
  received.mEndOfStream = true;
  received.mAnswer.mBody = std::move(aResponse.mBody);
  return received;
}

} // namespace dandelionslip
