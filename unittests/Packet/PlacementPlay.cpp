// Events of the play of placement.
#include "PlacementPlay.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <tuple>

namespace dandelionslip {

namespace {

constexpr std::array<double, 4> kSpeeds{0.55, 1.2, 1.2, 1.2};
constexpr std::size_t kBalancers = 20;
constexpr std::size_t kDataCentres = PlayResults::kDataCentres;
constexpr std::uint32_t kSlots = 2;
constexpr std::size_t kQueue = 8;
constexpr double kWorkMs = 13;
constexpr double kCostlyShare = 0.03;
constexpr double kCostlyFactor = 7;
constexpr Milliseconds kReportInterval{200};
constexpr Milliseconds kMaxWait{1'300};
constexpr Milliseconds kRoundTrip{8};
constexpr Milliseconds kCallerDelay{3};
constexpr int kAttempts = 3;
// Costs and speeds are learned during this time, which does not count.
constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kCounted = kStart + std::chrono::seconds(2);

RuntimeClock::duration Ms(double aMs)
{
  return std::chrono::duration_cast<RuntimeClock::duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

} // namespace

PlacementPlay::PlacementPlay(PlacementPolicy aPolicy, double aLoad, Milliseconds aCountedTime,
                             std::uint64_t aSeed)
  : mPolicy(aPolicy)
  , mEnd(kCounted + aCountedTime)
  , mRandom(aSeed)
  , mNow(kStart)
{
  double speed = 0;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    mUpstreams[i].mSpeed = kSpeeds[i % kSpeeds.size()];
    mUpstreams[i].mAdmission.OnUpstreamStarted(kSlots);
    speed += mUpstreams[i].mSpeed;
    At(Ms(200.0 * mRandom.Unit()), [this, i] { SendReports(i); });
  }
  for (std::size_t i = 0; i < kBalancers; ++i) {
    mBalancers.push_back(std::make_unique<Balancer>(mRandom.Next()));
  }
  const double workMs = kWorkMs * (1 + kCostlyShare * (kCostlyFactor - 1));
  mPerDataCentreMs = aLoad * speed * kSlots / workMs / kDataCentres;
  for (std::size_t i = 0; i < kDataCentres; ++i) {
    At(Duration{0}, [this, i] { NextRequest(i); });
  }
}

const PlayResults& PlacementPlay::Run()
{
  while (!mEvents.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mAction();
  }
  double sum = 0;
  for (const Upstream& upstream : mUpstreams) {
    sum += upstream.mBusy;
    mResults.mBusiest = std::max(mResults.mBusiest, upstream.mBusy);
  }
  mResults.mBusiest /= sum / kUpstreams;
  mResults.mBusyShare = sum / kUpstreams / kSlots / Seconds(mEnd - kCounted);
  return mResults;
}

void PlacementPlay::At(Duration aAfter, std::function<void()> aAction)
{
  mEvents.push({mNow + aAfter, mNumber++, std::move(aAction)});
}

RuntimeClock::duration PlacementPlay::Delay(std::size_t aBalancer, std::size_t aUpstream)
{
  return aBalancer % kDataCentres == aUpstream % kDataCentres ? Ms(0.2) : Ms(1.4);
}

void PlacementPlay::NextRequest(std::size_t aDataCentre)
{
  if (mNow >= mEnd) {
    return;
  }
  constexpr double kPeriod = 15;
  const double phase =
    Seconds(mNow - kStart) / kPeriod + static_cast<double>(aDataCentre) / kDataCentres;
  const double rate = mPerDataCentreMs * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
  At(Ms(-std::log(1 - mRandom.Unit()) / rate), [this, aDataCentre] { NextRequest(aDataCentre); });
  const double kindAt = mRandom.Unit();
  const std::size_t kind = kindAt < kPlayKinds[0].mShare       ? 0
                           : kindAt < 1 - kPlayKinds[2].mShare ? 1
                                                               : 2;
  // Uniform, with a deviation of 0.5 of the mean.
  double work = kWorkMs * (1 + 0.5 * std::sqrt(3.0) * (2 * mRandom.Unit() - 1));
  work *= mRandom.Unit() < kCostlyShare ? kCostlyFactor : 1;
  mRequests.push_back({kind, aDataCentre, mNow, Ms(work)});
  StartAttempt(mRequests.size() - 1);
}

void PlacementPlay::StartAttempt(std::size_t aId)
{
  Request& request = mRequests[aId];
  ++request.mAttempts;
  request.mFlow = {static_cast<std::uint32_t>(aId), static_cast<std::uint16_t>(request.mAttempts),
                   static_cast<std::uint16_t>(request.mKind), 1};
  request.mReturnedBy.clear();
  request.mArrivedAt = mNow + kCallerDelay;
  const std::size_t near = (kBalancers + kDataCentres - 1 - request.mDataCentre) / kDataCentres;
  request.mBalancer = request.mDataCentre + kDataCentres * mRandom.Below(near);
  mResults.mOpenings += mNow >= kCounted ? 1 : 0;
  At(kCallerDelay, [this, aId] { Place(aId); });
}

// Places as PacketBalancerOffers.cpp does, or as the baseline does.
void PlacementPlay::Place(std::size_t aId)
{
  Request& request = mRequests[aId];
  Balancer& balancer = *mBalancers[request.mBalancer];
  const auto chosen = mPolicy == PlacementPolicy::Selector ? ChooseOffer(request, balancer)
                                                           : ChooseBaseline(balancer);
  if (!chosen) {
    Hold(aId);
    return;
  }
  ++balancer.mPlaced[*chosen];
  balancer.mAccepted.OnOffered(mNow);
  At(Delay(request.mBalancer, *chosen), [this, aId, upstream = *chosen] {
    if (mPolicy == PlacementPolicy::Selector) {
      OnOffer(upstream, aId);
    } else {
      Open(upstream, aId);
    }
  });
}

std::optional<std::size_t> PlacementPlay::ChooseOffer(const Request& aRequest, Balancer& aBalancer)
{
  if (aRequest.mReturnedBy.size() > 2) {
    return std::nullopt;
  }
  const double meanSpeed = MeanSlotSpeed(Candidates(aBalancer, false));
  std::vector<SelectorCandidate> candidates;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    if (std::ranges::find(aRequest.mReturnedBy, i) != aRequest.mReturnedBy.end()) {
      continue;
    }
    const LoadReport& report = aBalancer.mReports[i];
    const double speed = report.mMilliRequestsPerSlotSecond == 0
                           ? meanSpeed
                           : report.mMilliRequestsPerSlotSecond / 1e3;
    const LoadDetails details = report.mDetails.value_or(LoadDetails{});
    candidates.push_back({i, i + 1, kSlots * speed * details.mAdmittedPermille / 1e3,
                          i % kDataCentres == aRequest.mBalancer % kDataCentres,
                          details.mBusyPermille / 1e3});
  }
  return aBalancer.mSelector.Choose(candidates);
}

std::vector<PlacementCandidate> PlacementPlay::Candidates(const Balancer& aBalancer,
                                                          bool aPreferred)
{
  std::vector<PlacementCandidate> candidates;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    candidates.push_back({i, &aBalancer.mReports[i], aBalancer.mPlaced[i]});
  }
  for (std::size_t i = 0; aPreferred && i < kPreferredAgents; ++i) {
    std::swap(candidates[i], candidates[i + mRandom.Below(kUpstreams - i)]);
  }
  candidates.resize(aPreferred ? kPreferredAgents : kUpstreams);
  return candidates;
}

std::size_t PlacementPlay::ChooseBaseline(const Balancer& aBalancer)
{
  if (mPolicy == PlacementPolicy::Today) {
    return ChoosePlacement(Candidates(aBalancer, true), mRandom).value();
  }
  std::size_t best = mRandom.Below(kUpstreams);
  const auto compare = [&](std::size_t aOther) {
    best =
      aBalancer.mReports[aOther].mRequests < aBalancer.mReports[best].mRequests ? aOther : best;
  };
  for (std::size_t i = 0; mPolicy == PlacementPolicy::Fewest && i < kUpstreams; ++i) {
    compare(i);
  }
  if (mPolicy == PlacementPolicy::TwoChoices) {
    compare(mRandom.Below(kUpstreams));
  }
  return best;
}

void PlacementPlay::OnOffer(std::size_t aUpstream, std::size_t aId)
{
  Upstream& upstream = mUpstreams[aUpstream];
  Request& request = mRequests[aId];
  const PlayKind& kind = kPlayKinds[request.mKind];
  const bool last = request.mReturnedBy.size() == 2;
  if (upstream.mAdmission.Accepts(
        {RouteOf(request), last, kind.mGoal, kind.mTimeout, kind.mPriority}, mNow) &&
      upstream.mDetector.Admits("", kind.mRepeatable, mNow)) {
    Open(aUpstream, aId);
    return;
  }
  At(Delay(request.mBalancer, aUpstream), [this, aUpstream, aId] {
    mRequests[aId].mReturnedBy.push_back(aUpstream);
    mBalancers[mRequests[aId].mBalancer]->mAccepted.OnReturned(mNow);
    Place(aId);
  });
}

std::uint64_t PlacementPlay::RouteOf(const Request& aRequest)
{
  return aRequest.mKind;
}

void PlacementPlay::Hold(std::size_t aId)
{
  const Request& request = mRequests[aId];
  const PlayKind& kind = kPlayKinds[request.mKind];
  Balancer& balancer = *mBalancers[request.mBalancer];
  std::vector<ForecastUpstream> upstreams;
  for (const LoadReport& report : balancer.mReports) {
    upstreams.push_back(
      {false, true, false, {}, 0, report.mMilliRequestsPerSlotSecond / 1e3 * kSlots});
  }
  const auto wait =
    ForecastWait(upstreams, kBalancers, balancer.mQueue.Size(), balancer.mAccepted.PerSecond(mNow));
  if (wait && mNow + *wait <= request.mArrivedAt + kind.mTimeout) {
    balancer.mQueue.Add(
      {request.mFlow, {}, kind.mPriority, request.mArrivedAt, kMaxWait, kind.mGoal});
  } else {
    EndAttempt(aId, Refused);
  }
}

void PlacementPlay::SendReports(std::size_t aUpstream)
{
  Upstream& upstream = mUpstreams[aUpstream];
  CheckOverdue(upstream);
  upstream.mAdmission.Expire(mNow);
  LoadReport report;
  report.mFlows = upstream.mFlows;
  report.mRequests = static_cast<std::uint32_t>(upstream.mPending.size());
  report.mSlots = kSlots;
  report.mMilliRequestsPerSlotSecond =
    static_cast<std::uint32_t>(std::lround(upstream.mEstimator.RequestsPerSlotSecond() * 1e3));
  LoadDetails& details = report.mDetails.emplace();
  details.mBusyPermille = 1'000 * upstream.mAdmission.Ahead() / kSlots;
  details.mAdmittedPermille =
    static_cast<std::uint32_t>(std::lround(1e3 * upstream.mDetector.AdmittedShare("")));
  const auto rooms =
    upstream.mShares.Split(upstream.mAdmission.Room(kReportInterval, mNow), kBalancers);
  for (std::size_t i = 0; i < kBalancers; ++i) {
    details.mRoom = rooms[i];
    const auto receive = [this, i, aUpstream, report] { OnReport(i, aUpstream, report); };
    const double fault = mRandom.Unit(); // 2% lost, 5% up to 300 ms late, 2% repeated.
    if (fault >= 0.02) {
      At(Delay(i, aUpstream) + (fault < 0.07 ? Ms(300 * mRandom.Unit()) : Duration{0}), receive);
    }
    if (fault > 0.98) {
      At(Ms(300 * mRandom.Unit()), receive);
    }
  }
  if (mNow < mEnd + kMaxWait) {
    At(kReportInterval, [this, aUpstream] { SendReports(aUpstream); });
  }
}

void PlacementPlay::OnReport(std::size_t aBalancer, std::size_t aUpstream,
                             const LoadReport& aReport)
{
  Balancer& balancer = *mBalancers[aBalancer];
  balancer.mReports[aUpstream] = aReport;
  balancer.mPlaced[aUpstream] = 0;
  for (const auto& opening : balancer.mQueue.TakeExpired(mNow)) {
    EndAttempt(opening.mFlow.mCallerAddress, Refused);
  }
  const auto any = [](const WaitingOpening&) { return true; };
  for (const auto& opening : balancer.mQueue.Take(aReport.mDetails->mRoom, any, mNow)) {
    ++balancer.mPlaced[aUpstream];
    At(Delay(aBalancer, aUpstream),
       [this, aUpstream, id = opening.mFlow.mCallerAddress] { Open(aUpstream, id); });
  }
}

void PlacementPlay::CheckOverdue(Upstream& aUpstream)
{
  for (const std::size_t id : aUpstream.mPending) {
    Request& request = mRequests[id];
    if (!request.mOverdue && mNow - request.mDelivered > aUpstream.mDetector.OverdueAfter() &&
        (request.mHadFreeSlot || aUpstream.mLatestAnswered > request.mDelivered)) {
      request.mOverdue = true;
      aUpstream.mDetector.OnFailure("", FlowFailure::Overdue, request.mDelivered, mNow);
      NoteVerdict(aUpstream);
    }
  }
}

void PlacementPlay::NoteVerdict(Upstream& aUpstream)
{
  const UpstreamVerdict verdict = aUpstream.mDetector.OverallVerdict();
  mResults.mFailingVerdicts +=
    verdict == UpstreamVerdict::Failing && verdict != aUpstream.mVerdict ? 1 : 0;
  aUpstream.mVerdict = verdict;
}

void PlacementPlay::Open(std::size_t aUpstream, std::size_t aId)
{
  ++mUpstreams[aUpstream].mFlows;
  mUpstreams[aUpstream].mAdmission.OnOpened(mRequests[aId].mFlow, RouteOf(mRequests[aId]), mNow);
  At(kRoundTrip, [this, aUpstream, aId] { OnRequest(aUpstream, aId); });
}

void PlacementPlay::OnRequest(std::size_t aUpstream, std::size_t aId)
{
  Upstream& upstream = mUpstreams[aUpstream];
  Request& request = mRequests[aId];
  request.mDelivered = mNow;
  request.mHadFreeSlot = upstream.mAdmission.HasFreeSlot();
  upstream.mAdmission.OnRequest(request.mFlow, RouteOf(request), mNow);
  upstream.mPending.push_back(aId);
  upstream.mEstimator.OnActiveChanged(static_cast<std::uint32_t>(upstream.mPending.size()), kSlots,
                                      mNow);
  if (upstream.mQueue.size() >= kQueue) {
    if (mNow >= kCounted) {
      ++mResults.mRejected;
      const auto isFree = [](const Upstream& aOther) { return aOther.mRunning < kSlots; };
      mResults.mRejectedNeedless += std::ranges::any_of(mUpstreams, isFree) ? 1 : 0;
    }
    At(Ms(0.2), [this, aUpstream, aId] { OnAnswer(aUpstream, aId, 100); });
    return;
  }
  upstream.mQueue.push_back(aId);
  RunNext(aUpstream);
}

void PlacementPlay::RunNext(std::size_t aUpstream)
{
  Upstream& upstream = mUpstreams[aUpstream];
  if (upstream.mRunning >= kSlots || upstream.mQueue.empty()) {
    return;
  }
  const std::size_t id = upstream.mQueue.front();
  upstream.mQueue.pop_front();
  ++upstream.mRunning;
  const Duration run = Ms(Seconds(mRequests[id].mWork) * 1e3 / upstream.mSpeed);
  upstream.mBusy += mNow >= kCounted && mNow < mEnd ? Seconds(run) : 0;
  At(run, [this, aUpstream, id] {
    --mUpstreams[aUpstream].mRunning;
    OnAnswer(aUpstream, id, 1'000);
    RunNext(aUpstream);
  });
}

void PlacementPlay::OnAnswer(std::size_t aUpstream, std::size_t aId, std::uint32_t aBytes)
{
  Upstream& upstream = mUpstreams[aUpstream];
  const Request& request = mRequests[aId];
  --upstream.mFlows;
  upstream.mAdmission.OnAnswered(request.mFlow, mNow);
  if (upstream.mDetector.OnAnswered("", {mNow - request.mDelivered, aBytes, request.mHadFreeSlot},
                                    mNow)) {
    upstream.mEstimator.OnCompleted();
    upstream.mLatestAnswered = std::max(upstream.mLatestAnswered, request.mDelivered);
  }
  NoteVerdict(upstream);
  std::erase(upstream.mPending, aId);
  upstream.mEstimator.OnActiveChanged(static_cast<std::uint32_t>(upstream.mPending.size()), kSlots,
                                      mNow);
  EndAttempt(aId, aBytes < 1'000 ? Lost : InGoal);
}

// aOutcome: InGoal if answered, Refused by the balancer, or Lost if rejected by the upstream.
void PlacementPlay::EndAttempt(std::size_t aId, PlayOutcome aOutcome)
{
  const Request& request = mRequests[aId];
  const PlayKind& kind = kPlayKinds[request.mKind];
  const Duration age = mNow + kCallerDelay - request.mStart;
  if (aOutcome != InGoal && request.mAttempts < kAttempts && age < kind.mTimeout) {
    At(kCallerDelay + Ms(30 + 80 * mRandom.Unit()), [this, aId] { StartAttempt(aId); });
    return;
  }
  if (aOutcome == InGoal) {
    aOutcome = age <= kind.mGoal ? InGoal : age <= kind.mTimeout ? Late : Lost;
  }
  if (request.mStart >= kCounted) {
    ++mResults.mByKind[request.mKind][aOutcome];
    ++mResults.mByDataCentre[request.mDataCentre][aOutcome];
  }
}

} // namespace dandelionslip
