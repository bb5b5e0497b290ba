// The parts of a PacketFlowSimulation.
#pragma once

#include "PacketFlowSimulation.h"

#include <algorithm>

namespace dandelionslip {

/// A VM with a balancer or an agent.
struct PacketFlowSimulation::Node : PacketOutput
{
  /// The last load report that a balancer got from an agent.
  struct ReportSeen
  {
    TimePoint mAt;
    std::uint64_t mConfirmedAgentsDigest = 0;
    bool mAccepts = false;
  };

  Node(PacketFlowSimulation& aSimulation, unsigned aNumber)
    : mSimulation(aSimulation)
    , mNumber(aNumber)
  {
  }

  void SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                  std::span<const std::uint8_t> aPacket) override
  {
    mSimulation.SendDatagram(*this, aNode, aHeader, aPacket);
  }
  void SendToCaller(const FlowKey& aFlow, std::span<const std::uint8_t> aPacket) override
  {
    mSimulation.SendToCaller(*this, aFlow, aPacket);
  }
  void SendToUpstream(std::span<const std::uint8_t> aPacket) override
  {
    mSimulation.SendToUpstream(*this, aPacket);
  }

  PacketFlowSimulation& mSimulation;
  unsigned mNumber;
  std::string mName;
  MemberKind mKind = MemberKind::Balancer;
  std::string mService;
  std::string mDataCentre;
  Endpoint mEndpoint;

  std::unique_ptr<MetricsRegistry> mRegistry;
  std::unique_ptr<PacketBalancer> mBalancer;
  std::unique_ptr<PacketAgent> mAgent;
  std::uint64_t mProcess = 0; ///< Number of the process; tasks of earlier ones are dropped.
  std::uint64_t mIncarnation = 0;
  TimePoint mStartedAt;
  bool mUp = false;
  bool mStopping = false;
  bool mGone = false;         ///< The VM was removed.
  Node* mSuccessor = nullptr; ///< VM that got the endpoint of this one.

  bool mFrozen = false;
  TimePoint mFrozenAt;
  Duration mClockLag{}; ///< Time for which the node's clock stood still.
  std::vector<Task> mDeferred;

  double mLoss = 0;
  double mTails = 0; ///< Share of datagrams that are delayed by up to 300 ms.
  Milliseconds mStateDelay{0};
  unsigned mAnnouncementsCut = 0; ///< Faults that keep announcements from control.
  unsigned mStatesCut = 0;        ///< Faults that keep states from the node.
  Milliseconds mSetBack{0};       ///< By which the wall clock was set back.
  /// End of the last unplanned fault of the node or its links.
  TimePoint mDisturbedUntil;

  std::uint64_t mViewRevision = 0;
  std::uint64_t mConfigurationRevision = 0;
  std::shared_ptr<const View> mView; ///< Applied last.
  std::shared_ptr<const Configuration> mConfiguration;
  TimePoint mLeaseEnd;              ///< Of a balancer, by its own clock.
  DirectoryAgents mDirectoryAgents; ///< Of the last applied view.

  unsigned mMisses = 2; ///< Readiness checks that failed in a row.
  std::map<unsigned, ReportSeen> mReports;

  std::map<Endpoint, TimePoint> mBalancers; ///< Known to an agent.
  OpeningShares mShares;
  Upstream* mUpstream = nullptr;
};

/// A flow at an upstream.
struct PacketFlowSimulation::UpstreamFlow
{
  enum class State
  {
    Opening,
    Open,
    Ended,
  };

  State mState = State::Opening;
  std::uint32_t mSequence = 0;
  std::uint32_t mCallerSequence = 0;
  std::uint32_t mNextRequest = 0;
  std::uint32_t mResponses = 0;    ///< Requests whose response was sent.
  std::uint32_t mAcknowledged = 0; ///< Responses that the caller acknowledged.
  bool mThawed = false;            ///< Open during a freeze of the upstream, and not used since.
};

/// An upstream, which outlives the processes of its agent.
struct PacketFlowSimulation::Upstream
{
  Node* mNode = nullptr;
  unsigned mNumber = 0;
  std::string mId;
  bool mUp = false;
  bool mDraining = false;
  std::uint64_t mStart = 0; ///< Number of the start; tasks of earlier ones are dropped.
  TimePoint mStartedAt;
  std::uint64_t mNextHeartbeat = 0;
  TimePoint mFullUntil;
  TimePoint mSlowUntil;
  TimePoint mBadUntil;     ///< Until then it answers requests late or not at all.
  TimePoint mRefusesUntil; ///< Until then it refuses all openings.
  bool mFrozen = false;
  TimePoint mThawedAt;
  std::vector<Task> mDeferred;
  std::unordered_map<FlowKey, UpstreamFlow, FlowKeyHash> mFlows;
};

/// A flow at its caller.
struct PacketFlowSimulation::CallerFlow
{
  std::uint32_t mSequence = 0;
  std::optional<std::uint32_t> mUpstreamSequence;
  std::uint32_t mRequest = 0; ///< Number of the current or next request.
  bool mWaits = false;        ///< For the answer to mRequest.
  bool mCloses = false;
  TimePoint mDeadline;
  TimePoint mEndsAt;
  std::uint32_t mRequestsLeft = 0;
};

/// Bytes of every request and response.
inline constexpr std::uint16_t kMessageBytes = 100;

/// Whether two sequence numbers may belong to the same flow.
inline bool IsNear(std::uint32_t aFirst, std::uint32_t aSecond)
{
  constexpr std::uint32_t kWindow = 76'800;
  return std::min(aFirst - aSecond, aSecond - aFirst) <= kWindow;
}

} // namespace dandelionslip
