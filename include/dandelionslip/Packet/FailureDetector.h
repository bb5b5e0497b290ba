// Detects an upstream that fails although its heartbeats say that it is ready.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionslip {

/// How a flow of an upstream failed.
enum class FlowFailure
{
  Reset,             ///< The upstream reset the flow before it answered the request.
  Rejected,          ///< A short answer at once although the upstream had free slots.
  Overdue,           ///< No answer for OverdueAfter().
  OpeningUnanswered, ///< No answer to the opening packet.
};

inline constexpr std::size_t kFlowFailures = 4;

std::string_view ToString(FlowFailure aFailure);

/// What an agent knows of its upstream's ability to answer.
enum class UpstreamVerdict : std::uint8_t
{
  Healthy,
  Failing,   ///< Gets trial flows only.
  Returning, ///< Trial flows were answered; gets a growing share of its flows.
};

std::string_view ToString(UpstreamVerdict aVerdict);

/// An answer, as the agent sees it at the first data.
struct UpstreamAnswer
{
  RuntimeClock::duration mDuration{}; ///< Since the request was delivered.
  std::uint32_t mBytes = 0;           ///< Data of the first packet.
  bool mHadFreeSlot = false;          ///< When the request was delivered.
  bool mWasOverdue = false;           ///< Already reported as FlowFailure::Overdue.
};

/// Judges one upstream by the flows that its agent delivered, separately for callers of each data
/// centre. Compares recent outcomes with what is usual for this upstream. Not thread-safe.
class FailureDetector
{
public:
  /// Forgets everything: another process of the upstream may behave differently.
  void OnUpstreamStarted(TimePoint aNow);
  /// Returns whether the request was run. A rejection is a failure only if there was a free slot.
  bool OnAnswered(const std::string& aCallerDataCentre, const UpstreamAnswer& aAnswer,
                  TimePoint aNow);
  /// aDeliveredAt: when the request or opening was delivered. What was delivered before the
  /// upstream's start or its verdict says nothing about the time after it.
  void OnFailure(const std::string& aCallerDataCentre, FlowFailure aFailure, TimePoint aDeliveredAt,
                 TimePoint aNow);

  /// How long a request may run before OnFailure(Overdue) is due, if the upstream had a free slot,
  /// has answered later requests, or has answered none since.
  RuntimeClock::duration OverdueAfter() const;

  /// Whether an offered opening may be delivered. Counts it as a trial flow if the upstream is
  /// failing. Requests that may run only once are no trials.
  bool Admits(const std::string& aCallerDataCentre, bool aRepeatable, TimePoint aNow);

  /// The verdict for callers of one data centre.
  UpstreamVerdict Verdict(const std::string& aCallerDataCentre) const;
  /// Time since that verdict last changed; zero if it never did.
  Milliseconds VerdictAge(const std::string& aCallerDataCentre, TimePoint aNow) const;
  /// Share of the usual flows of that data centre that the upstream may get, 0 to 1.
  double AdmittedShare(const std::string& aCallerDataCentre) const;
  /// The verdict for callers of all data centres together.
  UpstreamVerdict OverallVerdict() const { return mAll.Verdict(); }

private:
  /// The verdict for one group of callers, from the outcomes of their last flows.
  class Judge
  {
  public:
    void OnOutcome(const std::string& aCallerDataCentre, bool aFailed, TimePoint aDeliveredAt,
                   TimePoint aNow);
    bool Admits(bool aRepeatable, TimePoint aNow);
    UpstreamVerdict Verdict() const { return mVerdict; }
    std::optional<TimePoint> ChangedAt() const { return mChangedAt; }
    double Share() const;

  private:
    struct Outcome
    {
      std::string mCallerDataCentre;
      bool mFailed = false;
      TimePoint mAt;
    };

    bool Fails() const;
    void Change(UpstreamVerdict aVerdict, TimePoint aNow);

    UpstreamVerdict mVerdict = UpstreamVerdict::Healthy;
    std::optional<TimePoint> mChangedAt;
    TimePoint mFailedAt; ///< When the verdict last became Failing.
    std::deque<Outcome> mOutcomes;
    unsigned mAnsweredTrials = 0; ///< In a row, while failing.
    TimePoint mTriedAt;
    Milliseconds mTrialInterval{0};
    double mShare = 1.0;         ///< While returning.
    double mAdmissionCredit = 0; ///< While returning: an opening is admitted when it reaches 1.
  };

  void OnOutcome(const std::string& aCallerDataCentre, bool aFailed, TimePoint aDeliveredAt,
                 TimePoint aNow);
  const Judge& JudgeFor(const std::string& aCallerDataCentre) const;
  bool IsRejection(const UpstreamAnswer& aAnswer) const;

  TimePoint mStartedAt;
  Judge mAll;
  /// Of data centres whose callers sent requests while mAll was healthy.
  std::map<std::string, Judge> mByDataCentre;
  // Usual answers, as exponentially weighted means.
  double mMeanSeconds = 0;
  double mMeanBytes = 0;
  std::uint64_t mAnswers = 0;
};

} // namespace dandelionslip
