// Simulates balancers, agents and upstreams in one process, with seeded message delays and faults.
#pragma once

#include "RequestHistory.h"
#include "RequestTestSupport.h"

#include <array>
#include <functional>
#include <iostream>
#include <queue>

namespace dandelionslip::requesttest {

/// Counts of events. Tests sum them over all seeds and require a minimum of each.
struct SimulationTotals
{
  std::size_t mRequests = 0;
  std::size_t mRuns = 0;
  std::size_t mAnswered = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;
  std::size_t mCancelled = 0;
  std::size_t mResends = 0;
  std::size_t mRelayed = 0;
  std::size_t mTransferMessages = 0; ///< Delivered transfer messages, also repeated ones.
  std::size_t mBucketsOfLostOwners = 0;
  std::size_t mRecordUpdates = 0;
  std::size_t mCrashes = 0;
  std::size_t mRestarts = 0;
  /// Messages without a reply although their balancer did not crash.
  std::size_t mWithoutReply = 0;
};

/// What fails while the only request of a scenario is in progress.
enum class Fault
{
  CallerLink,
  Balancer,
  Agent,
  Upstream,
  Restart,
  ControlContact,
};

/// A simulation with one request, sent at kRequestUs, and one fault at mFaultUs.
struct Scenario
{
  static constexpr std::int64_t kRequestUs = 100'000;
  Fault mFault = Fault::Agent;
  std::int64_t mFaultUs = 0;
};

/// One seeded simulation. Its time is in microseconds since the start.
class RequestSimulation
{
public:
  /// Without a scenario, the simulation has many requests and random faults.
  explicit RequestSimulation(std::uint64_t aSeed, std::optional<Scenario> aScenario = {});
  ~RequestSimulation();

  void Run();

  const RequestHistory& History() const { return mHistory; }
  const SimulationTotals& Totals() const { return mTotals; }

private:
  static constexpr std::size_t kAgents = 3;
  static constexpr std::size_t kBalancers = 2;
  static constexpr std::uint32_t kBuckets = 16;

  struct Agent;
  struct Balancer;
  struct Call;
  struct SimulatedRun;
  struct Transfer;
  using OnReply = std::function<void(const RequestReply&)>;
  using Task = std::function<void()>;
  struct Event
  {
    std::int64_t mAt;
    std::uint64_t mOrder;
    Task mTask;
    /// Reversed, so that the priority queue returns the earliest event first.
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  bool Chance(double aShare) { return mRandom.Unit() < aShare; }
  std::int64_t Delay();
  void After(std::int64_t aDelay, Task aTask);
  RequestTime Time(std::int64_t aWallOffsetMs) const;
  RequestTime TimeOf(const Agent& aAgent) const;
  void ScheduleTicks(std::int64_t aStart);

  // Callers (RequestSimulationCallers.cpp).
  void ScheduleBurst(std::int64_t aStart);
  void NewRequest();
  void SendCall(const std::shared_ptr<Call>& aCall);
  void ScheduleCancel(std::size_t aBalancer, ReplyHandle aHandle, std::int64_t aDelay);
  void OnCallerReply(std::size_t aBalancer, const ReplyToCaller& aReply);
  void PerformBalancerActions(std::size_t aBalancer, const BalancerRequestActions& aActions);
  void SendAttempt(std::size_t aBalancer, const SendToAgent& aSend);
  void CrashBalancer(std::size_t aBalancer);

  // Agents and upstreams (RequestSimulationAgents.cpp).
  void StartAgent(std::size_t aAgent);
  void Deliver(std::size_t aAgent, const ReceivedRequest& aRequest, const OnReply& aOnReply,
               const Task& aOnLinkLost, const AttemptKey& aKey);
  void Arrive(std::size_t aAgent, ReceivedRequest aRequest, OnReply aOnReply, Task aOnLinkLost,
              const AttemptKey& aKey);
  void PerformAgentActions(std::size_t aAgent, const AgentRequestActions& aActions);
  void PerformReply(std::size_t aAgent, const ReplyToSender& aReply);
  void RunUpstream(std::size_t aAgent, const RunAtUpstream& aRun);
  void EndRun(std::size_t aAgent, RunId aRun,
              std::function<AgentRequestActions(AgentRequestCore&)> aEnd);
  void Relay(std::size_t aAgent, const RelayToAlternate& aRelay);
  void CancelRunAt(std::size_t aAgent, RunId aRun);
  void CancelAt(std::size_t aAgent, const AttemptKey& aKey);
  void DropLinks(std::size_t aAgent);
  ReceivedAnswer Transmit(const UpstreamAnswer& aAnswer);

  // Ownership and failures (RequestSimulationControl.cpp).
  void ScheduleFaults(std::int64_t aStart);
  void Inject(Fault aFault);
  void DeliverEvent(std::size_t aAgent,
                    std::function<AgentRequestActions(AgentRequestCore&)> aEvent);
  bool IsUsable(std::size_t aAgent) const;
  std::optional<std::size_t> PickOwner(std::size_t aNot);
  void SetOwner(std::uint32_t aBucket, std::size_t aOwner);
  void MoveBuckets();
  void PullBucket(std::uint32_t aBucket, std::uint32_t aGeneration);
  void CrashAgent(std::size_t aAgent);
  void CutOffFromControl(std::size_t aAgent);
  void RestartAgent(std::size_t aAgent);
  void FinishRestart(std::size_t aAgent, std::int64_t aGiveUpAt);
  void CrashUpstream(std::size_t aAgent);
  void DeclareLost(std::size_t aAgent);
  void Reassign(std::uint32_t aBucket, std::size_t aLostAgent);

  std::optional<Scenario> mScenario;
  Random mRandom;
  std::int64_t mNow = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::vector<std::unique_ptr<Balancer>> mBalancers;
  std::vector<std::unique_ptr<Transfer>> mTransfers; ///< By bucket; null without a transfer.
  std::vector<std::size_t> mOwners;
  std::uint32_t mGeneration = 1;
  ReplyHandle mNextHandle = 1;
  std::vector<std::shared_ptr<Call>> mCalls;
  RequestHistory mHistory;
  SimulationTotals mTotals;
};

} // namespace dandelionslip::requesttest
