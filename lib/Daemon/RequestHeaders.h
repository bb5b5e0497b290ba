// HTTP/2 headers of requests and replies between callers, balancers, agents and upstreams.
#pragma once

#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Request/RequestOutcome.h"

#include <optional>
#include <string>

namespace dandelionslip {

inline constexpr char kHeaderService[] = "dslip-service";
inline constexpr char kHeaderRequestId[] = "dslip-request-id";
inline constexpr char kHeaderAttempt[] = "dslip-attempt";
inline constexpr char kHeaderDeadline[] = "dslip-deadline-ms";
/// "false" only when no earlier attempt can have run.
inline constexpr char kHeaderMayHaveRun[] = "dslip-may-have-run";
inline constexpr char kHeaderIdempotent[] = "dslip-idempotent";
inline constexpr char kHeaderCaller[] = "dslip-caller";
inline constexpr char kHeaderClass[] = "dslip-class";
inline constexpr char kHeaderRelayed[] = "dslip-relayed";
inline constexpr char kHeaderIncarnation[] = "dslip-incarnation";
inline constexpr char kHeaderOutcome[] = "dslip-outcome";
inline constexpr char kHeaderReason[] = "dslip-reason";
inline constexpr char kHeaderRetryAfter[] = "dslip-retry-after-ms";
inline constexpr char kHeaderDigest[] = "dslip-digest";
/// Set by an upstream that refused a request before running it.
inline constexpr char kHeaderNotRun[] = "dslip-not-run";

/// Finds a header with an unsigned decimal number; no value if it is absent or malformed.
std::optional<std::uint64_t> FindNumberHeader(const std::vector<HttpHeader>& aHeaders,
                                              std::string_view aName);

/// Converts a reply to an HTTP response. The status is that of the upstream's answer, or 503 for
/// not run, 502 for unknown, 499 for cancelled and 421 for not owner.
HttpResponse ToResponse(const RequestReply& aReply);

/// The contents of an agent's response.
struct AgentResponse
{
  RequestOutcome mOutcome = RequestOutcome::Unknown;
  std::optional<Refusal> mRefusal;
  ReceivedAnswer mReceived;
};

/// Reads what ToResponse wrote, except the digest. The outcome of a response without outcome header
/// is unknown.
AgentResponse FromResponse(HttpResponse aResponse);

/// Converts an upstream's response.
ReceivedAnswer ToReceivedAnswer(HttpResponse aResponse);

} // namespace dandelionslip
