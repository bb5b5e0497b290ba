// HTTP/2 headers of requests between callers, balancers, agents and upstreams.
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

/// Reads an unsigned decimal header; no value when absent or malformed.
std::optional<std::uint64_t> NumberHeader(const std::vector<HttpHeader>& aHeaders,
                                          std::string_view aName);

/// The answer as an HTTP response: 200 answered, 503 not run, 502 unknown, 499 cancelled.
HttpResponse ToResponse(const RequestReply& aAnswer);

/// A response of an agent or balancer as outcome, refusal and received answer.
struct AgentResponse
{
  RequestOutcome mOutcome = RequestOutcome::Unknown;
  std::optional<Refusal> mRefusal;
  ReceivedAnswer mReceived;
};

/// Reads what ToResponse wrote. A response without outcome header counts as unknown.
AgentResponse FromResponse(HttpResponse aResponse);

/// The response of an upstream as a received answer.
ReceivedAnswer ReceivedFrom(HttpResponse aResponse);

} // namespace dandelionslip
