// Agents, balancers and other parts of RequestSimulation.
#pragma once

#include "RequestSimulation.h"

namespace dandelionslip::requesttest {

inline std::string AgentName(std::size_t aIndex)
{
  return {'u', static_cast<char>('0' + aIndex)};
}

inline std::size_t IndexOf(const std::string& aName)
{
  return static_cast<std::size_t>(aName[1] - '0');
}

/// A run at a simulated upstream or at an alternate agent.
struct RequestSimulation::SimulatedRun
{
  bool mEnded = false;
  bool mCancelled = false;
  /// Set for a relayed run: the alternate agent and the attempt.
  std::optional<std::pair<std::size_t, AttemptKey>> mAlternate;
};

/// A received message whose sender waits for the reply.
struct OpenReply
{
  AttemptKey mKey;
  /// Whether the reply goes into the history: the request is neither idempotent nor relayed.
  bool mIsClaim = false;
  std::function<void(const RequestReply&)> mOnReply;
  std::function<void()> mOnLinkLost;
};

struct RequestSimulation::Agent
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::int64_t mWallOffsetMs = 0;
  std::uint64_t mCrashCount = 0; ///< Events from control are discarded after a crash.
  bool mLost = false;            ///< Declared lost by control.
  bool mIneligible = false;      ///< Gets no buckets: it stops, or has no contact with control.
  std::unique_ptr<FixedSlots> mSlots;
  std::unique_ptr<MetricsRegistry> mRegistry;
  std::unique_ptr<AgentRequestCore> mCore; ///< Null while the process is down.
  std::map<ReplyHandle, OpenReply> mReplies;
  std::map<RunId, std::shared_ptr<SimulatedRun>> mRuns;
};

/// One request of a caller over all its resends.
struct RequestSimulation::Call
{
  RequestId mId;
  bool mIdempotent = false;
  std::uint32_t mAttempt = 0;
  std::size_t mOpen = 0; ///< Messages without a reply.
};

struct RequestSimulation::Balancer : RequestTargets
{
  std::optional<std::string> OwnerOf(ServiceId /*aService*/, const RequestId& aId) const override
  {
    return AgentName(mOwners[BucketOf(aId, kBuckets)]);
  }

  std::vector<std::string> CandidatesOf(ServiceId /*aService*/) const override
  {
    return {"u0", "u1", "u2"};
  }

  struct OpenCall
  {
    std::shared_ptr<Call> mCall;
    std::uint32_t mAttempt = 0;
  };
  std::uint64_t mCrashCount = 0;
  std::vector<std::size_t> mOwners; ///< By bucket; may be outdated.
  std::unique_ptr<MetricsRegistry> mRegistry;
  std::unique_ptr<BalancerRequestCore> mCore;
  std::map<ReplyHandle, OpenCall> mCalls;
};

/// The transfer of a bucket to a new owner.
struct RequestSimulation::Transfer
{
  std::uint32_t mGeneration = 0;
  std::size_t mFrom = 0;
  std::size_t mTo = 0;
  bool mFromLost = false;
};

} // namespace dandelionslip::requesttest
