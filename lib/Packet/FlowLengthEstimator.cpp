// Number of requests on a flow, from flows that ended.
#include "dandelionslip/Packet/FlowLengthEstimator.h"

#include "dandelionslip/Support/Durations.h"

#include <cmath>

namespace dandelionslip {

namespace {

// Part of the answered flows that must have ended. Flows with many requests rarely end.
constexpr double kMinEndedShare = 0.5;

} // namespace

void FlowLengthEstimator::Decay(TimePoint aNow)
{
  const double kept = std::exp2(-Seconds(aNow - mDecayedAt) / kHalfLifeSeconds);
  mDecayedAt = aNow;
  mAnswered *= kept;
  mEnded *= kept;
  mAnswers *= kept;
}

void FlowLengthEstimator::OnFirstAnswer(TimePoint aNow)
{
  Decay(aNow);
  mAnswered += 1;
}

void FlowLengthEstimator::OnEnded(unsigned aAnswers, TimePoint aNow)
{
  if (aAnswers == 0) {
    return;
  }
  Decay(aNow);
  mEnded += 1;
  mAnswers += aAnswers;
}

bool FlowLengthEstimator::OneRequestPerFlow() const
{
  return mEnded >= kMinEnded && mEnded >= mAnswered * kMinEndedShare &&
         mAnswers <= mEnded * kMaxAnswers;
}

} // namespace dandelionslip
