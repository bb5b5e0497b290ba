// How a unit of work ended at the upstream.
#pragma once

namespace dandelionslip {

enum class CompletionResult
{
  Success, ///< The upstream answered completely.
  Failed,  ///< The upstream answered with a server error, did not complete its answer, or exceeded
           ///< the service's request timeout.
  Shed,    ///< The upstream refused the work because of its load.
  Cancelled, ///< The caller withdrew the work or its own, shorter deadline passed; this says
             ///< nothing about the upstream.
};

} // namespace dandelionslip
