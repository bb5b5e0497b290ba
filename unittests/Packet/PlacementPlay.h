// Discrete-event play of placement at 20 balancers and 42 upstreams, with the classes that decide.
#pragma once

#include "dandelionslip/Packet/FailureDetector.h"
#include "dandelionslip/Packet/OpeningAdmission.h"
#include "dandelionslip/Packet/OpeningQueue.h"
#include "dandelionslip/Packet/OpeningShares.h"
#include "dandelionslip/Packet/Placement.h"
#include "dandelionslip/Packet/SpeedEstimator.h"
#include "dandelionslip/Packet/UpstreamSelector.h"
#include "dandelionslip/Packet/WaitingForecast.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>

namespace dandelionslip {

/// How balancers choose the upstream of an opening.
enum class PlacementPolicy
{
  Selector,  ///< UpstreamSelector, with offers that agents may return.
  Today,     ///< ChoosePlacement among six agents.
  Random,    ///< Any upstream.
  Fewest,    ///< Fewest requests by the last report.
  TwoChoices ///< Of two random upstreams, the one with fewer requests by the last report.
};

/// What a caller got after its last attempt.
enum PlayOutcome : std::uint8_t
{
  InGoal,
  Late,
  Refused, ///< By a balancer.
  Lost     ///< Rejected by an upstream, or answered after the timeout.
};

using PlayOutcomes = std::array<double, 4>;

struct PlayKind
{
  const char* mName;
  double mShare;
  Milliseconds mGoal;
  Milliseconds mTimeout;
  std::uint32_t mPriority;
  bool mRepeatable;
};

/// Shares, goals and timeouts of deployment A; see docs/design/hard-load.md.
inline constexpr std::array<PlayKind, 3> kPlayKinds{{
  {"unsafe", 0.21, Milliseconds{200}, Milliseconds{1'500}, 1, false},
  {"safe", 0.73, Milliseconds{200}, Milliseconds{1'500}, 2, true},
  {"download", 0.06, Milliseconds{800}, Milliseconds{6'000}, 3, true},
}};

struct PlayResults
{
  static constexpr std::size_t kDataCentres = 3;

  std::array<PlayOutcomes, kPlayKinds.size()> mByKind{};
  std::array<PlayOutcomes, kDataCentres> mByDataCentre{};
  double mOpenings = 0;
  double mRejected = 0;         ///< By a full queue.
  double mRejectedNeedless = 0; ///< Of these, while another upstream had a free slot.
  double mBusiest = 0;          ///< Busy time of the busiest upstream over the mean.
  double mBusyShare = 0;        ///< Of all slots.
  std::size_t mFailingVerdicts = 0;
};

/// Callers repeat a refused or rejected request after 30 to 110 ms, three attempts in all. Load
/// reports are late, lost or repeated; other messages are not, so that there are no
/// retransmissions. Demand varies by 55% over 15 s, at different times in the data centres.
/// Balancers and agents use the classes as PacketBalancer and PacketAgent do.
class PlacementPlay
{
public:
  /// aLoad: work that arrives over what upstreams can run. The first two seconds don't count.
  PlacementPlay(PlacementPolicy aPolicy, double aLoad, Milliseconds aCountedTime,
                std::uint64_t aSeed);

  const PlayResults& Run();

private:
  using Duration = RuntimeClock::duration;
  static constexpr std::size_t kUpstreams = 42;

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mNumber;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
    }
  };

  struct Request
  {
    std::size_t mKind;
    std::size_t mDataCentre;
    TimePoint mStart;
    Duration mWork;
    int mAttempts = 0;
    FlowKey mFlow{};
    std::size_t mBalancer = 0;
    TimePoint mArrivedAt{};
    std::vector<std::size_t> mReturnedBy{};
    TimePoint mDelivered{};
    bool mHadFreeSlot = false;
    bool mOverdue = false;
  };

  struct Upstream
  {
    double mSpeed = 1;
    std::uint32_t mRunning = 0;
    std::deque<std::size_t> mQueue{};
    std::vector<std::size_t> mPending{};
    std::uint32_t mFlows = 0;
    TimePoint mLatestAnswered{};
    double mBusy = 0;
    UpstreamVerdict mVerdict = UpstreamVerdict::Healthy;
    OpeningAdmission mAdmission{};
    FailureDetector mDetector{};
    SpeedEstimator mEstimator{};
    OpeningShares mShares{};
  };

  struct Balancer
  {
    explicit Balancer(std::uint64_t aSeed)
      : mSelector(Random(aSeed))
    {
    }
    std::array<LoadReport, kUpstreams> mReports{};
    std::array<std::uint32_t, kUpstreams> mPlaced{};
    UpstreamSelector mSelector;
    OpeningQueue mQueue{};
    AcceptedRate mAccepted{};
  };

  void At(Duration aAfter, std::function<void()> aAction);
  static Duration Delay(std::size_t aBalancer, std::size_t aUpstream);
  void NextRequest(std::size_t aDataCentre);
  void StartAttempt(std::size_t aId);
  void Place(std::size_t aId);
  std::optional<std::size_t> ChooseOffer(const Request& aRequest, Balancer& aBalancer);
  std::vector<PlacementCandidate> Candidates(const Balancer& aBalancer, bool aPreferred);
  std::size_t ChooseBaseline(const Balancer& aBalancer);
  void OnOffer(std::size_t aUpstream, std::size_t aId);
  static std::uint64_t RouteOf(const Request& aRequest);
  void Hold(std::size_t aId);
  void SendReports(std::size_t aUpstream);
  void OnReport(std::size_t aBalancer, std::size_t aUpstream, const LoadReport& aReport);
  void CheckOverdue(Upstream& aUpstream);
  void NoteVerdict(Upstream& aUpstream);
  void Open(std::size_t aUpstream, std::size_t aId);
  void OnRequest(std::size_t aUpstream, std::size_t aId);
  void RunNext(std::size_t aUpstream);
  void OnAnswer(std::size_t aUpstream, std::size_t aId, std::uint32_t aBytes);
  void EndAttempt(std::size_t aId, PlayOutcome aOutcome);

  PlacementPolicy mPolicy;
  TimePoint mEnd;
  Random mRandom;
  TimePoint mNow;
  double mPerDataCentreMs = 0; ///< Requests per millisecond.
  std::uint64_t mNumber = 0;
  std::priority_queue<Event> mEvents;
  std::deque<Request> mRequests;
  std::array<Upstream, kUpstreams> mUpstreams{};
  std::vector<std::unique_ptr<Balancer>> mBalancers;
  PlayResults mResults;
};

} // namespace dandelionslip
