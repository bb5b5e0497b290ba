// Learns whether the flows of an upstream carry one request each.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// Counts the flows that got an answer, those that ended, and the answers on them, with a decaying
/// weight. A flow that carries one request ends right after its answer. Not thread-safe.
class FlowLengthEstimator
{
public:
  /// The first request of a flow was answered.
  void OnFirstAnswer(TimePoint aNow);
  /// A flow that was passed to OnFirstAnswer and that both sides have ended; aAnswers: requests
  /// answered on it. One without answers shows nothing and is ignored.
  void OnEnded(unsigned aAnswers, TimePoint aNow);

  /// Whether at least kMinEnded flows have ended, at least half of those that got an answer, with
  /// at most kMaxAnswers answers each on average. False while too little is known.
  bool OneRequestPerFlow() const;

  static constexpr double kMinEnded = 3;
  static constexpr double kMaxAnswers = 1.5;

private:
  /// Time after which the weight of an observation has halved.
  static constexpr double kHalfLifeSeconds = 10;

  void Decay(TimePoint aNow);

  double mAnswered = 0;
  double mEnded = 0;
  double mAnswers = 0; ///< On ended flows.
  TimePoint mDecayedAt;
};

} // namespace dandelionslip
