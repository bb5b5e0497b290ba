// Capacity model of the stand-in upstream.
#include "UpstreamModel.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// A cold upstream serves this many times slower than a warm one.
constexpr double kColdSlowdown = 5.0;

} // namespace

UpstreamModel::UpstreamModel(UpstreamOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mColdSince(aNow)
{
  mStatistics.mName = mOptions.mName;
}

void UpstreamModel::TurnCold(TimePoint aNow)
{
  mColdSince = aNow;
}

double UpstreamModel::Warmth(TimePoint aNow) const
{
  const auto age = std::chrono::duration<double>(aNow - mColdSince);
  const auto warmUp = std::chrono::duration<double>(mOptions.mWarmUp);
  return warmUp.count() <= 0 ? 1.0 : std::clamp(age / warmUp, 0.0, 1.0);
}

double UpstreamModel::BearableSlots(TimePoint aNow) const
{
  const double warmth = Warmth(aNow);
  return mOptions.mColdSlots + warmth * (mOptions.mSlots - mOptions.mColdSlots);
}

double UpstreamModel::BearableConnections(TimePoint aNow) const
{
  const double warmth = Warmth(aNow);
  return mOptions.mColdConnections + warmth * (mOptions.mConnections - mOptions.mColdConnections);
}

bool UpstreamModel::StartRun(const std::string& aRequestId, TimePoint aNow, Run& aRun)
{
  if (mStatistics.mInFlight >= mOptions.mSlots) {
    ++mStatistics.mShed;
    return false;
  }
  ++mStatistics.mInFlight;
  const double ratio = static_cast<double>(mStatistics.mInFlight) / BearableSlots(aNow);
  mStatistics.mPeakSlotRatio = std::max(mStatistics.mPeakSlotRatio, ratio);
  if (ratio > 1.0) {
    ++mStatistics.mOverloads;
    TurnCold(aNow);
  }
  aRun = Run{aRequestId, ++mStatistics.mRuns, mOptions.mName};
  mHistory.push_back(aRun);
  return true;
}

Milliseconds UpstreamModel::ServiceTime(TimePoint aNow) const
{
  const double factor = 1.0 + (kColdSlowdown - 1.0) * (1.0 - Warmth(aNow));
  return Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(mOptions.mService.count()) * factor));
}

void UpstreamModel::SetSessions(std::size_t aSessions, TimePoint aNow)
{
  const bool grew = aSessions > mStatistics.mSessions;
  mStatistics.mSessions = aSessions;
  const double ratio = static_cast<double>(aSessions) / BearableConnections(aNow);
  mStatistics.mPeakConnectionRatio = std::max(mStatistics.mPeakConnectionRatio, ratio);
  if (grew && ratio > 1.0) {
    ++mStatistics.mOverloads;
    TurnCold(aNow);
  }
}

} // namespace dandelionslip
