// Model of the stand-in upstream: capacity, cold start, overload and run history.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

/// Behaviour of a stand-in upstream.
struct UpstreamOptions
{
  std::string mName;
  std::uint32_t mSlots = 4;
  std::uint32_t mConnections = 2000;
  std::uint32_t mColdSlots = 1;         ///< Requests that it can run at once when cold.
  std::uint32_t mColdConnections = 100; ///< Sessions that it can hold when cold.
  Milliseconds mServiceTime{20};        ///< Time to serve a request when warm.
  Milliseconds mWarmUpTime{5'000};      ///< Time from cold to full capacity.
};

/// A run of a request.
struct Run
{
  std::string mRequestId;
  std::uint64_t mNumber = 0; ///< Number of the run, counted by this upstream from 1.
  std::string mUpstream;
};

template <typename V>
void DescribeFields(V& aVisitor, Run& aValue)
{
  aVisitor.Field("request_id", aValue.mRequestId);
  aVisitor.Field("run", aValue.mNumber);
  aVisitor.Field("upstream", aValue.mUpstream);
}

/// Counters of a stand-in upstream.
struct UpstreamStatistics
{
  std::string mName;
  std::uint64_t mRuns = 0;
  std::uint64_t mShed = 0;         ///< Requests refused because all slots were in use.
  std::uint64_t mOverloads = 0;    ///< How often the load exceeded the current capacity.
  double mPeakSlotRatio = 0;       ///< Highest ratio of requests in flight to the current capacity.
  double mPeakConnectionRatio = 0; ///< Highest ratio of sessions to the current capacity.
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

/// Models an upstream whose capacity grows from the cold to the full value during its warm-up, and
/// which an overload resets to cold. Does no input or output. Not thread-safe.
class UpstreamModel
{
public:
  UpstreamModel(UpstreamOptions aOptions, TimePoint aNow);

  /// Resets to cold, as after an unannounced restart.
  void ResetToCold(TimePoint aNow);

  /// Starts a run and fills aRun. A load beyond the current capacity resets the upstream to cold.
  /// Returns false if all slots are in use and the request is shed.
  bool StartRun(const std::string& aRequestId, TimePoint aNow, Run& aRun);
  void FinishRun() { --mStatistics.mInFlight; }

  /// Duration of a run started now; longer when cold.
  Milliseconds ServiceTime(TimePoint aNow) const;

  /// Sets the number of open sessions; an increase beyond the current capacity is an overload.
  void SetSessions(std::size_t aSessions, TimePoint aNow);

  const UpstreamStatistics& Statistics() const { return mStatistics; }
  const std::vector<Run>& History() const { return mHistory; }

private:
  double WarmUpProgress(TimePoint aNow) const;
  double SlotCapacity(TimePoint aNow) const;
  double ConnectionCapacity(TimePoint aNow) const;

  UpstreamOptions mOptions;
  TimePoint mColdSince;
  UpstreamStatistics mStatistics;
  std::vector<Run> mHistory;
};

} // namespace dandelionslip
