// Names of the metrics of the request path.
#pragma once

namespace dandelionslip::metric {

/// Replies to senders of requests; label "outcome".
inline constexpr const char* kRequestOutcomes = "dandelionslip_request_outcomes_total";
/// Refusals, also those whose reply is "unknown" because the refusal could not be recorded; label
/// "reason".
inline constexpr const char* kRequestRefusals = "dandelionslip_request_refusals_total";
/// Attempts after the first one; label "reason".
inline constexpr const char* kRequestRetries = "dandelionslip_request_retries_total";
/// Requests that were not retried although their last attempt allowed it; label "reason".
inline constexpr const char* kRequestRetriesDenied = "dandelionslip_request_retries_denied_total";
/// Messages that were late, unmatched, incomplete or duplicate; label "reason". Not all of them are
/// dropped: the record of a request keeps a late answer.
inline constexpr const char* kRequestDrops = "dandelionslip_request_drops_total";
/// Resends that the record of an earlier attempt decided; label "state" is that of the record.
inline constexpr const char* kRequestResends = "dandelionslip_request_resends_total";

} // namespace dandelionslip::metric
