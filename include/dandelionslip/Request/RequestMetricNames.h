// Names of the metrics of the request path.
#pragma once

namespace dandelionslip::metric {

/// Final outcomes told to whoever sent the request; label "outcome".
inline constexpr const char* kRequestOutcomes = "dandelionslip_request_outcomes_total";
/// Requests that were not run; label "reason".
inline constexpr const char* kRequestRefusals = "dandelionslip_request_refusals_total";
/// Attempts after the first one; label "reason".
inline constexpr const char* kRequestRetries = "dandelionslip_request_retries_total";
/// Retries that were wanted and not made; label "reason".
inline constexpr const char* kRequestRetriesDenied = "dandelionslip_request_retries_denied_total";
/// Answers and messages that matched nothing and were dropped; label "reason".
inline constexpr const char* kRequestDrops = "dandelionslip_request_drops_total";
/// Resends that were served from the record of an earlier attempt; label "state".
inline constexpr const char* kRequestResends = "dandelionslip_request_resends_total";

} // namespace dandelionslip::metric
