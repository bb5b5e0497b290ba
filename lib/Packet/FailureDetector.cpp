// Verdicts on an upstream from the outcomes of its last flows.
#include "dandelionslip/Packet/FailureDetector.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

namespace {

// An upstream fails when this many of its last outcomes are failures. Four of ten, because
// upstreams were seen that failed 40% of their requests, and one reset or lost packet must not
// count.
constexpr std::size_t kWindow = 10;
constexpr std::size_t kMinFailures = 4;

// Older outcomes say nothing about the present.
constexpr Milliseconds kOutcomeLifetime{10'000};

// Interval of trial flows; doubled, up to the limit, when the upstream fails again while it
// returns.
constexpr Milliseconds kFirstTrialInterval{400};
constexpr Milliseconds kMaxTrialInterval{3'200};

// Trial flows in a row that must be answered before the upstream returns. One that fails 45% of its
// requests passes with a probability of 5%.
constexpr unsigned kTrialsToReturn = 5;

// Share of its flows with which an upstream returns, and the time after which it doubles.
constexpr double kFirstShare = 0.25;
constexpr Milliseconds kShareInterval{1'000};

// Stated as the share of a failing upstream: it gets about one flow in fifty for trials.
constexpr double kTrialShare = 0.02;

// Answers before the baseline is used. With 20, an upstream that rejected 45% of its requests from
// its start lost more than 20 callers.
constexpr std::uint64_t kMinAnswers = 10;
// Weight of a new answer in the baseline.
constexpr double kBaselineWeight = 1.0 / 64;

// An answer is a rejection if it takes less than this part of the mean time and has less than this
// part of the mean size.
constexpr double kRejectionTime = 0.15;
constexpr double kRejectionSize = 0.5;

// A request is overdue after this many times the mean answer time, but not before kMinOverdue:
// requests that cost seven times the mean were seen.
constexpr double kOverdueFactor = 10;
constexpr Milliseconds kMinOverdue{200};
constexpr Milliseconds kUnknownOverdue{1'000};

} // namespace

std::string_view ToString(FlowFailure aFailure)
{
  static constexpr std::array<std::string_view, kFlowFailures> kNames{
    "reset", "rejected", "overdue", "opening_unanswered"};
  return kNames[static_cast<std::size_t>(aFailure)];
}

std::string_view ToString(UpstreamVerdict aVerdict)
{
  static constexpr std::array<std::string_view, 3> kNames{"healthy", "failing", "returning"};
  return kNames[static_cast<std::size_t>(aVerdict)];
}

void FailureDetector::Judge::Change(UpstreamVerdict aVerdict, TimePoint aNow)
{
  mVerdict = aVerdict;
  mChangedAt = aNow;
  mAnsweredTrials = 0;
  if (aVerdict == UpstreamVerdict::Failing) {
    mFailedAt = aNow;
    mOutcomes.clear();
  }
}

// Whether enough outcomes are failures. Failures of callers of one data centre, beside answers to
// others, are left to the judge of that data centre: the others are served.
bool FailureDetector::Judge::Fails() const
{
  std::size_t failures = 0;
  const std::string* failed = nullptr;
  bool failedInSeveral = false;
  for (const Outcome& outcome : mOutcomes) {
    if (outcome.mFailed) {
      ++failures;
      failedInSeveral =
        failedInSeveral || (failed != nullptr && *failed != outcome.mCallerDataCentre);
      failed = &outcome.mCallerDataCentre;
    }
  }
  if (failures < kMinFailures || failedInSeveral) {
    return failures >= kMinFailures;
  }
  return std::all_of(mOutcomes.begin(), mOutcomes.end(), [&](const Outcome& aOutcome) {
    return aOutcome.mCallerDataCentre == *failed;
  });
}

void FailureDetector::Judge::OnOutcome(const std::string& aCallerDataCentre, bool aFailed,
                                       TimePoint aDeliveredAt, TimePoint aNow)
{
  if (aDeliveredAt < mFailedAt) {
    return;
  }
  if (mVerdict == UpstreamVerdict::Failing) {
    mAnsweredTrials = aFailed ? 0 : mAnsweredTrials + 1;
    if (mAnsweredTrials >= kTrialsToReturn) {
      Change(UpstreamVerdict::Returning, aNow);
      mShare = kFirstShare;
    }
    return;
  }
  mOutcomes.push_back({aCallerDataCentre, aFailed, aNow});
  while (mOutcomes.size() > kWindow || aNow - mOutcomes.front().mAt > kOutcomeLifetime) {
    mOutcomes.pop_front();
  }
  if (Fails()) {
    mTrialInterval = mVerdict == UpstreamVerdict::Returning
                       ? std::min(2 * mTrialInterval, kMaxTrialInterval)
                       : kFirstTrialInterval;
    mTriedAt = aNow;
    Change(UpstreamVerdict::Failing, aNow);
  } else if (mVerdict == UpstreamVerdict::Returning && aNow - *mChangedAt >= kShareInterval) {
    mShare *= 2;
    Change(mShare >= 1.0 ? UpstreamVerdict::Healthy : UpstreamVerdict::Returning, aNow);
  }
}

bool FailureDetector::Judge::Admits(bool aRepeatable, TimePoint aNow)
{
  switch (mVerdict) {
    case UpstreamVerdict::Healthy:
      return true;
    case UpstreamVerdict::Failing:
      if (!aRepeatable || aNow - mTriedAt < mTrialInterval) {
        return false;
      }
      mTriedAt = aNow;
      return true;
    case UpstreamVerdict::Returning:
      mAdmissionCredit += mShare;
      if (mAdmissionCredit < 1.0) {
        return false;
      }
      mAdmissionCredit -= 1.0;
      return true;
  }
  return true;
}

double FailureDetector::Judge::Share() const
{
  return mVerdict == UpstreamVerdict::Healthy   ? 1.0
         : mVerdict == UpstreamVerdict::Failing ? kTrialShare
                                                : mShare;
}

void FailureDetector::OnUpstreamStarted(TimePoint aNow)
{
  *this = {};
  mStartedAt = aNow;
}

bool FailureDetector::IsRejection(const UpstreamAnswer& aAnswer) const
{
  return mAnswers >= kMinAnswers && Seconds(aAnswer.mDuration) < kRejectionTime * mMeanSeconds &&
         aAnswer.mBytes < kRejectionSize * mMeanBytes;
}

bool FailureDetector::OnAnswered(const std::string& aCallerDataCentre,
                                 const UpstreamAnswer& aAnswer, TimePoint aNow)
{
  const TimePoint deliveredAt = aNow - aAnswer.mDuration;
  if (deliveredAt < mStartedAt) {
    return false;
  }
  if (IsRejection(aAnswer)) {
    // By a full queue, it shows neither that the upstream fails nor what is usual.
    if (aAnswer.mHadFreeSlot) {
      OnFailure(aCallerDataCentre, FlowFailure::Rejected, deliveredAt, aNow);
    }
    return false;
  }
  const double weight =
    std::max(kBaselineWeight, 1.0 / static_cast<double>(std::min(++mAnswers, kMinAnswers * 100)));
  mMeanSeconds += weight * (Seconds(aAnswer.mDuration) - mMeanSeconds);
  mMeanBytes += weight * (aAnswer.mBytes - mMeanBytes);
  // A late answer shows how long requests take; its caller has been counted already.
  if (!aAnswer.mWasOverdue) {
    OnOutcome(aCallerDataCentre, false, deliveredAt, aNow);
  }
  return true;
}

void FailureDetector::OnFailure(const std::string& aCallerDataCentre, FlowFailure /*aFailure*/,
                                TimePoint aDeliveredAt, TimePoint aNow)
{
  OnOutcome(aCallerDataCentre, true, aDeliveredAt, aNow);
}

void FailureDetector::OnOutcome(const std::string& aCallerDataCentre, bool aFailed,
                                TimePoint aDeliveredAt, TimePoint aNow)
{
  if (aDeliveredAt < mStartedAt) {
    return;
  }
  const UpstreamVerdict before = mAll.Verdict();
  mAll.OnOutcome(aCallerDataCentre, aFailed, aDeliveredAt, aNow);
  if (mAll.Verdict() != UpstreamVerdict::Healthy) {
    mByDataCentre.clear();
  } else if (before == UpstreamVerdict::Healthy) {
    mByDataCentre[aCallerDataCentre].OnOutcome(aCallerDataCentre, aFailed, aDeliveredAt, aNow);
  }
}

RuntimeClock::duration FailureDetector::OverdueAfter() const
{
  const Milliseconds least = mAnswers < kMinAnswers ? kUnknownOverdue : kMinOverdue;
  return std::max<RuntimeClock::duration>(
    least, std::chrono::duration_cast<RuntimeClock::duration>(
             std::chrono::duration<double>(kOverdueFactor * mMeanSeconds)));
}

bool FailureDetector::Admits(const std::string& aCallerDataCentre, bool aRepeatable, TimePoint aNow)
{
  if (mAll.Verdict() != UpstreamVerdict::Healthy) {
    return mAll.Admits(aRepeatable, aNow);
  }
  const auto found = mByDataCentre.find(aCallerDataCentre);
  return found == mByDataCentre.end() || found->second.Admits(aRepeatable, aNow);
}

const FailureDetector::Judge& FailureDetector::JudgeFor(const std::string& aCallerDataCentre) const
{
  const auto found = mByDataCentre.find(aCallerDataCentre);
  const bool separate = found != mByDataCentre.end() && found->second.ChangedAt() &&
                        mAll.Verdict() == UpstreamVerdict::Healthy;
  return separate ? found->second : mAll;
}

UpstreamVerdict FailureDetector::Verdict(const std::string& aCallerDataCentre) const
{
  return JudgeFor(aCallerDataCentre).Verdict();
}

Milliseconds FailureDetector::VerdictAge(const std::string& aCallerDataCentre, TimePoint aNow) const
{
  const auto changedAt = JudgeFor(aCallerDataCentre).ChangedAt();
  return changedAt ? std::chrono::duration_cast<Milliseconds>(aNow - *changedAt) : Milliseconds{0};
}

double FailureDetector::AdmittedShare(const std::string& aCallerDataCentre) const
{
  return JudgeFor(aCallerDataCentre).Share();
}

} // namespace dandelionslip
