// Capacity model of the stand-in upstream.
#include "UpstreamModel.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// How many times longer a cold upstream takes for a request than a warm one.
constexpr double kColdSlowdown = 5.0;

} // namespace

UpstreamModel::UpstreamModel(UpstreamOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mColdSince(aNow)
{
  mStatistics.mName = mOptions.mName;
}

void UpstreamModel::ResetToCold(TimePoint aNow)
{
  mColdSince = aNow;
}

double UpstreamModel::WarmUpProgress(TimePoint aNow) const
{
  const auto age = std::chrono::duration<double>(aNow - mColdSince);
  const auto warmUp = std::chrono::duration<double>(mOptions.mWarmUpTime);
  return warmUp.count() <= 0 ? 1.0 : std::clamp(age / warmUp, 0.0, 1.0);
}

double UpstreamModel::SlotCapacity(TimePoint aNow) const
{
  const double progress = WarmUpProgress(aNow);
  return mOptions.mColdSlots + progress * (mOptions.mSlots - mOptions.mColdSlots);
}

double UpstreamModel::ConnectionCapacity(TimePoint aNow) const
{
  const double progress = WarmUpProgress(aNow);
  return mOptions.mColdConnections + progress * (mOptions.mConnections - mOptions.mColdConnections);
}

bool UpstreamModel::StartRun(const std::string& aRequestId, TimePoint aNow, Run& aRun)
{
  if (mStatistics.mInFlight >= mOptions.mSlots) {
    ++mStatistics.mShed;
    return false;
  }
  ++mStatistics.mInFlight;
  const double ratio = static_cast<double>(mStatistics.mInFlight) / SlotCapacity(aNow);
  mStatistics.mPeakSlotRatio = std::max(mStatistics.mPeakSlotRatio, ratio);
  if (ratio > 1.0) {
    ++mStatistics.mOverloads;
    ResetToCold(aNow);
  }
  aRun = Run{aRequestId, ++mStatistics.mRuns, mOptions.mName};
  mHistory.push_back(aRun);
  return true;
}

Milliseconds UpstreamModel::ServiceTime(TimePoint aNow) const
{
  const double factor = 1.0 + (kColdSlowdown - 1.0) * (1.0 - WarmUpProgress(aNow));
  return Milliseconds(
    static_cast<std::int64_t>(static_cast<double>(mOptions.mServiceTime.count()) * factor));
}

void UpstreamModel::SetSessions(std::size_t aSessions, TimePoint aNow)
{
  const bool grew = aSessions > mStatistics.mSessions;
  mStatistics.mSessions = aSessions;
  const double ratio = static_cast<double>(aSessions) / ConnectionCapacity(aNow);
  mStatistics.mPeakConnectionRatio = std::max(mStatistics.mPeakConnectionRatio, ratio);
  if (grew && ratio > 1.0) {
    ++mStatistics.mOverloads;
    ResetToCold(aNow);
  }
}

} // namespace dandelionslip
