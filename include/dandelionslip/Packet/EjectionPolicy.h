// Bounds how many upstreams of a service are left out because they fail.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <span>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// An upstream of a service, by its last load report.
struct EjectionCandidate
{
  std::string_view mDataCentre;
  bool mAccepts = false; ///< Whether new flows may be sent.
  bool mFailing = false; ///< Its agent's verdict.
  Milliseconds mVerdictAge{0};
};

/// Whether each candidate is left out of placement: at most kMaxEjectedShare of those that accept
/// flows, the oldest verdicts first, and never the last one of a data centre. If more fail, the
/// cause is not a single upstream, and others would be overloaded by its share.
std::vector<bool> ChooseEjected(std::span<const EjectionCandidate> aCandidates);

inline constexpr double kMaxEjectedShare = 1.0 / 3.0;

} // namespace dandelionslip
