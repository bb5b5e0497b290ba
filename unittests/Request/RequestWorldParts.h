// The nodes of RequestWorld.
#pragma once

#include "RequestWorld.h"

namespace dandelionslip::requesttest {

inline std::string AgentName(std::size_t aIndex)
{
  return {'u', static_cast<char>('0' + aIndex)};
}

inline std::size_t IndexOf(const std::string& aName)
{
  return static_cast<std::size_t>(aName[1] - '0');
}

/// A run at a fake upstream or at an alternate's agent.
struct RequestWorld::UpstreamRun
{
  bool mEnded = false;
  bool mCancelled = false;
  std::optional<std::pair<std::size_t, AttemptKey>> mAlternate;
};

/// A message whose sender waits for the reply.
struct OpenReply
{
  AttemptKey mKey;
  bool mRecorded = false; ///< Neither idempotent nor relayed.
  std::function<void(const RequestReply&)> mReplied;
  std::function<void()> mLost;
};

struct RequestWorld::Agent
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::int64_t mWallOffsetMs = 0;
  std::uint64_t mLife = 0; ///< Changes with a crash; messages from control are for one life.
  bool mLost = false;      ///< Declared lost by control.
  bool mStopping = false;
  std::unique_ptr<FixedSlots> mSlots;
  std::unique_ptr<MetricsRegistry> mRegistry;
  std::unique_ptr<AgentRequestCore> mCore; ///< Null while the process is down.
  std::map<ReplyHandle, OpenReply> mReplies;
  std::map<RunId, std::shared_ptr<UpstreamRun>> mRuns;
};

/// One request of a caller over all its resends.
struct RequestWorld::Call
{
  RequestId mId;
  bool mIdempotent = false;
  std::uint32_t mAttempt = 0;
  std::size_t mOpen = 0; ///< Messages without a reply.
};

struct RequestWorld::Balancer : RequestTargets
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
  std::uint64_t mLife = 0;
  std::vector<std::size_t> mOwners; ///< Perhaps outdated.
  std::unique_ptr<MetricsRegistry> mRegistry;
  std::unique_ptr<BalancerRequestCore> mCore;
  std::map<ReplyHandle, OpenCall> mCalls;
};

/// A bucket on its way to a new owner.
struct RequestWorld::Transfer
{
  std::uint32_t mGeneration = 0;
  std::size_t mFrom = 0;
  std::size_t mTo = 0;
  bool mFromLost = false;
};

} // namespace dandelionslip::requesttest
