// Several balancers, agents and upstreams that exchange messages in one process under seeded
// faults.
#pragma once

#include "RequestHistory.h"
#include "RequestTestSupport.h"

#include <array>
#include <functional>
#include <iostream>
#include <queue>

namespace dandelionslip::requesttest {

/// How often something worth checking happened; summed over seeds so that a test can require it.
struct WorldTotals
{
  std::size_t mRequests = 0;
  std::size_t mRuns = 0;
  std::size_t mAnswered = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;
  std::size_t mCancelled = 0;
  std::size_t mResends = 0;
  std::size_t mRelayed = 0;
  std::size_t mHandoffs = 0;
  std::size_t mLostOwners = 0;
  std::size_t mRecordUpdates = 0;
  std::size_t mCrashes = 0;
  std::size_t mRestarts = 0;
  std::size_t mUnanswered = 0; ///< Requests that no reply reached although their balancer lived.
};

/// What fails while the only request of a scenario is under way.
enum class Fault
{
  CallerLink,
  Balancer,
  Agent,
  Upstream,
  Restart,
  ControlContact,
};

/// A run with one request, sent at kRequestUs, and one fault.
struct Scenario
{
  static constexpr std::int64_t kRequestUs = 100'000;
  Fault mFault = Fault::Agent;
  std::int64_t mFaultUs = 0;
};

/// One seeded run. Time is in microseconds since its start.
class RequestWorld
{
public:
  /// Without a scenario, many requests meet many faults.
  explicit RequestWorld(std::uint64_t aSeed, std::optional<Scenario> aScenario = {});
  ~RequestWorld();

  void Run();

  const RequestHistory& History() const { return mHistory; }
  const WorldTotals& Totals() const { return mTotals; }

private:
  static constexpr std::size_t kAgents = 3;
  static constexpr std::size_t kBalancers = 2;
  static constexpr std::uint32_t kBuckets = 16;

  struct Agent;
  struct Balancer;
  struct Call;
  struct UpstreamRun;
  struct Transfer;
  using Replied = std::function<void(const RequestReply&)>;
  using Task = std::function<void()>;
  struct Event
  {
    std::int64_t mAt;
    std::uint64_t mOrder;
    Task mTask;
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

  // Callers (RequestWorldCallers.cpp).
  void ScheduleBurst(std::int64_t aStart);
  void NewRequest();
  void SendCall(const std::shared_ptr<Call>& aCall);
  void Withdraw(std::size_t aBalancer, ReplyHandle aHandle, std::int64_t aDelay);
  void OnCallerReply(std::size_t aBalancer, const ReplyToCaller& aReply);
  void PerformRelay(std::size_t aBalancer, const BalancerRequestActions& aActions);
  void SendAttempt(std::size_t aBalancer, const SendToAgent& aSend);
  void CrashBalancer(std::size_t aBalancer);

  // Agents and upstreams (RequestWorldAgents.cpp).
  void StartAgent(std::size_t aAgent);
  void Deliver(std::size_t aAgent, const ReceivedRequest& aRequest, const Replied& aReplied,
               const Task& aLost, const AttemptKey& aKey);
  void Arrive(std::size_t aAgent, ReceivedRequest aRequest, Replied aReplied, Task aLost,
              const AttemptKey& aKey);
  void PerformHome(std::size_t aAgent, const AgentRequestActions& aActions);
  void PerformAnswer(std::size_t aAgent, const ReplyToSender& aAnswer);
  void RunUpstream(std::size_t aAgent, const RunAtUpstream& aRun);
  void EndRun(std::size_t aAgent, RunId aRun,
              std::function<AgentRequestActions(AgentRequestCore&)> aEnd);
  void Relay(std::size_t aAgent, const RelayToAlternate& aRelay);
  void CancelRunAt(std::size_t aAgent, RunId aRun);
  void CancelAt(std::size_t aAgent, const AttemptKey& aKey);
  void DropLinks(std::size_t aAgent);
  ReceivedAnswer OnTheWire(const UpstreamAnswer& aAnswer);

  // Ownership and failures (RequestWorldControl.cpp).
  void ScheduleFaults(std::int64_t aStart);
  void Inject(Fault aFault);
  void Control(std::size_t aAgent, std::function<AgentRequestActions(AgentRequestCore&)> aEvent);
  bool IsUsable(std::size_t aAgent) const;
  std::optional<std::size_t> PickOwner(std::size_t aNot);
  void SetOwner(std::uint32_t aBucket, std::size_t aOwner);
  void MoveBuckets();
  void AskForBucket(std::uint32_t aBucket, std::uint32_t aGeneration);
  void CrashAgent(std::size_t aAgent);
  void CutOff(std::size_t aAgent);
  void RestartAgent(std::size_t aAgent);
  void FinishRestart(std::size_t aAgent, std::int64_t aGiveUpAt);
  void CrashUpstream(std::size_t aAgent);
  void DeclareLost(std::size_t aAgent);
  void Reassign(std::uint32_t aBucket, std::size_t aLost);

  std::optional<Scenario> mScenario;
  Random mRandom;
  std::int64_t mNow = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::vector<std::unique_ptr<Balancer>> mBalancers;
  std::vector<std::unique_ptr<Transfer>> mTransfers; ///< By bucket; null when settled.
  std::vector<std::size_t> mOwners;
  std::uint32_t mGeneration = 1;
  ReplyHandle mNextHandle = 1;
  std::vector<std::shared_ptr<Call>> mCalls;
  RequestHistory mHistory;
  WorldTotals mTotals;
};

} // namespace dandelionslip::requesttest
