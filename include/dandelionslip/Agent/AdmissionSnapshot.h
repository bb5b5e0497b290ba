// Admission state that an agent hands to its backup at a planned stop.
#pragma once

#include "dandelionslip/Support/Fields.h"

#include <cstdint>

namespace dandelionslip {

/// Ramp, baselines and weight of an upstream. Flows and requests in progress are not part of it;
/// the new process counts its restored flows with UpstreamAdmission::AddRestoredFlow.
struct AdmissionSnapshot
{
  std::uint32_t mSlotLimit = 0;
  std::uint32_t mConnectionLimit = 0;
  std::int64_t mRequestBaselineNs = 0; ///< 0 when unknown.
  std::int64_t mFlowBaselineNs = 0;    ///< 0 when unknown.
  std::uint32_t mWeight = 0;
  /// Successful completions a second of one busy slot; 0 when unknown.
  double mCompletionRate = 0;

  bool operator==(const AdmissionSnapshot&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, AdmissionSnapshot& aValue)
{
  aVisitor.Field("slot_limit", aValue.mSlotLimit);
  aVisitor.Field("connection_limit", aValue.mConnectionLimit);
  aVisitor.Field("request_baseline_ns", aValue.mRequestBaselineNs);
  aVisitor.Field("flow_baseline_ns", aValue.mFlowBaselineNs);
  aVisitor.Field("weight", aValue.mWeight);
  aVisitor.Field("completion_rate", aValue.mCompletionRate);
}

} // namespace dandelionslip
