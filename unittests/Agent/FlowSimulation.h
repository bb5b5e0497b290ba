// Several balancer and agent cores in one process, connected by a simulated network.
#pragma once

#include "FlowHistory.h"
#include "dandelionslip/Agent/FlowCore.h"
#include "dandelionslip/Route/RoutingCore.h"
#include "dandelionslip/Support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace dandelionslip {

/// Faults of the simulated network.
struct FlowSimulationFaults
{
  double mDatagramLoss = 0.01;
  double mPeerLoss = 0.05;
  Milliseconds mPeerDelay{50};
  // With these two faults flows break, which shows that the checker can fail.
  /// Transferred directories arrive empty, and directory updates are lost.
  bool mTransferDisabled = false;
  bool mResumptionDisabled = false; ///< Resumed agents get no flows back.
};

/// Admits up to a number of flows and refuses some at random, so that redirects happen.
class FakeAdmission : public FlowAdmission
{
public:
  FakeAdmission(Random& aRandom, std::size_t aCapacity)
    : mRandom(aRandom)
    , mCapacity(aCapacity)
  {
  }

  std::optional<Refusal> TryOpenFlow(TimePoint) override
  {
    if (mOpen >= mCapacity) {
      return Refusal{RefusalReason::ConnectionsFull, Milliseconds(200)};
    }
    if (mRandom.Below(10) == 0) {
      return Refusal{RefusalReason::RateLimited, Milliseconds(100)};
    }
    ++mOpen;
    return std::nullopt;
  }

  void CloseFlow(TimePoint) override { mOpen -= mOpen > 0 ? 1 : 0; }

  Random& mRandom;
  std::size_t mCapacity;
  std::size_t mOpen = 0;
};

/// The simulated system. Every run with the same seed and calls is the same.
class FlowSimulation
{
public:
  FlowSimulation(std::uint64_t aSeed, FlowSimulationFaults aFaults);

  void AddBalancer(const std::string& aName, const std::string& aDataCentre);
  void AddAgent(const std::string& aName, const std::string& aService,
                const std::string& aDataCentre);
  void AddCallers(const std::string& aAddress, std::size_t aCount);

  /// Declares a service or replaces its addresses. aRedeclare gives it a new id.
  void Publish(const std::string& aService, std::vector<std::string> aAddresses,
               bool aRedeclare = false);
  void SetDataCentreOut(const std::string& aDataCentre, bool aOut);
  void SetWeight(const std::string& aAgent, std::uint32_t aWeight);
  void SetDraining(const std::string& aNode, bool aDraining);
  void RestartAgent(const std::string& aAgent);
  void RestartBalancer(const std::string& aBalancer);

  /// One random planned change.
  void ChangeAtRandom();

  void Run(Milliseconds aTime);

  /// Runs for 10 s, in which planned changes should finish, then for 3 s more, and records the
  /// established sessions that got no reply in these 3 s.
  void Settle();

  bool AllAcknowledged() const;
  std::size_t EstablishedSessions() const { return mEstablished; }
  std::size_t TransfersWithFlows() const { return mTransfersWithFlows; }
  std::size_t RedirectedFlows() const { return mRedirected; }
  std::size_t Resumptions() const { return mResumptions; }
  const std::vector<FlowEvent>& History() const { return mHistory; }

private:
  struct Balancer
  {
    std::string mName;
    std::string mDataCentre;
    Endpoint mEndpoint;
    std::unique_ptr<RoutingCore> mCore;
    bool mAlive = true;
  };

  struct Agent
  {
    std::string mName;
    std::string mService;
    std::string mDataCentre;
    Endpoint mEndpoint;
    std::uint64_t mIncarnation = 1;
    std::unique_ptr<FakeAdmission> mAdmission;
    std::unique_ptr<FlowCore> mCore; ///< Null while the process is down.
    bool mStopping = false;
    bool mResuming = false;
    std::uint16_t mNextPort = 10'000;
    std::map<FlowId, std::uint16_t> mPorts; ///< As the upstream sees them.
  };

  struct Caller
  {
    Endpoint mEndpoint;
    Endpoint mService;
    std::uint64_t mSession = 0;
    bool mEstablished = false;
    TimePoint mLastReply;
  };

  using Task = std::function<void()>;

  void After(std::chrono::microseconds aDelay, Task aTask);
  std::chrono::microseconds RandomDelay(Milliseconds aLongest);
  bool IsLost(double aShare) { return mRandom.Unit() < aShare; }
  void Record(FlowEvent aEvent) { mHistory.push_back(std::move(aEvent)); }

  void StartProcess(Agent& aAgent);
  void IssueGenerations();
  void IssueGeneration(const std::string& aService);
  void PollBalancer(Balancer& aBalancer);
  void PollAgent(Agent& aAgent);
  void TickAgent(Agent& aAgent);
  void ApplyState(Agent& aAgent);
  void ApplyState(Balancer& aBalancer);
  void Perform(Agent& aAgent, FlowActions aActions);
  void Perform(Agent& aAgent, SendPeerMessage aAction);
  void Deliver(Agent& aAgent, const SendToUpstream& aAction);
  void SendToEndpoint(const Endpoint& aFrom, const Endpoint& aTo, const DatagramHeader& aHeader,
                      const Bytes& aPayload);
  void StepCaller(Caller& aCaller);
  void SendFromCaller(Caller& aCaller);
  void DeliverToCaller(const Endpoint& aCaller, const Endpoint& aService, const Bytes& aPayload);
  void StopProcess(Agent& aAgent, const std::string& aBackup);
  Agent* AgentAt(const Endpoint& aEndpoint);

  Random mRandom;
  FlowSimulationFaults mFaults;
  TimePoint mNow{std::chrono::seconds(1)};
  std::uint64_t mSequence = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Task> mTasks;
  View mView;
  Configuration mConfiguration;
  std::map<std::string, std::uint32_t> mWeights;
  std::map<std::string, std::unique_ptr<Balancer>> mBalancers;
  std::map<std::string, std::unique_ptr<Agent>> mAgents;
  std::map<Endpoint, std::unique_ptr<Caller>> mCallers;
  std::uint64_t mNextSession = 1;
  std::uint16_t mNextEndpoint = 1;
  std::size_t mEstablished = 0;
  std::size_t mTransfersWithFlows = 0;
  std::size_t mRedirected = 0;
  std::size_t mResumptions = 0;
  std::vector<FlowEvent> mHistory;
};

} // namespace dandelionslip
