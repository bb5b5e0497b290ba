// Behaviour of the stand-in upstream: capacity, cold start, overload and run history.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

/// How a stand-in upstream behaves.
struct UpstreamOptions
{
  std::string mName;
  std::uint32_t mSlots = 4;
  std::uint32_t mConnections = 2000;
  std::uint32_t mColdSlots = 1;
  std::uint32_t mColdConnections = 100;
  Milliseconds mService{20};   ///< Time to serve one request when not overloaded.
  Milliseconds mWarmUp{5'000}; ///< Time until the full capacity is reached.
};

/// One request that was run.
struct Run
{
  std::string mRequestId;
  std::uint64_t mRun = 0; ///< Position in this upstream's sequence of runs.
  std::string mUpstream;
};

template <typename V>
void DescribeFields(V& aVisitor, Run& aValue)
{
  aVisitor.Field("request_id", aValue.mRequestId);
  aVisitor.Field("run", aValue.mRun);
  aVisitor.Field("upstream", aValue.mUpstream);
}

/// What a stand-in upstream has seen.
struct UpstreamStatistics
{
  std::string mName;
  std::uint64_t mRuns = 0;
  std::uint64_t mShed = 0;
  std::uint64_t mOverloads = 0; ///< Times at which the load exceeded what it can bear.
  double mPeakSlotRatio = 0;    ///< Highest requests in flight over the bearable number.
  double mPeakConnectionRatio = 0;
  std::uint64_t mSessions = 0;
  std::uint64_t mInFlight = 0;
};

template <typename V>
void DescribeFields(V& aVisitor, UpstreamStatistics& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("runs", aValue.mRuns);
  aVisitor.Field("shed", aValue.mShed);
  aVisitor.Field("overloads", aValue.mOverloads);
  aVisitor.Field("peak_slot_ratio", aValue.mPeakSlotRatio);
  aVisitor.Field("peak_connection_ratio", aValue.mPeakConnectionRatio);
  aVisitor.Field("sessions", aValue.mSessions);
  aVisitor.Field("in_flight", aValue.mInFlight);
}

/// Capacity model without input or output. Not thread-safe.
class UpstreamModel
{
public:
  UpstreamModel(UpstreamOptions aOptions, TimePoint aNow);

  /// Returns to cold, as after a restart that nobody announced.
  void TurnCold(TimePoint aNow);

  /// Starts a run; false when all slots are taken and the request is shed.
  bool StartRun(const std::string& aRequestId, TimePoint aNow, Run& aRun);
  void FinishRun() { --mStatistics.mInFlight; }

  /// Time that a run started now takes; longer when cold or overloaded.
  Milliseconds ServiceTime(TimePoint aNow) const;

  /// Reports the number of open sessions.
  void SetSessions(std::size_t aSessions, TimePoint aNow);

  const UpstreamStatistics& Statistics() const { return mStatistics; }
  const std::vector<Run>& History() const { return mHistory; }

private:
  double Warmth(TimePoint aNow) const;
  double BearableSlots(TimePoint aNow) const;
  double BearableConnections(TimePoint aNow) const;

  UpstreamOptions mOptions;
  TimePoint mColdSince;
  UpstreamStatistics mStatistics;
  std::vector<Run> mHistory;
};

} // namespace dandelionslip
