// Event loop of the request simulation.
#include "RequestSimulationParts.h"

namespace dandelionslip::requesttest {

namespace {

constexpr std::int64_t kTickUs = 10'000;
// Time after the start of a burst in which ticks are scheduled.
constexpr std::int64_t kTickSpanUs = 3'500'000;
// Start times of the bursts of requests. The second is later than the first by more than
// kClockSkewBound, so that buckets whose owner was lost accept new ids again. The third is later by
// more than the retention, so that records have expired.
constexpr std::array<std::int64_t, 3> kBursts{0, 40'000'000, 660'000'000};

constexpr std::int64_t kEndUs = 700'000'000;

} // namespace

RequestSimulation::RequestSimulation(std::uint64_t aSeed, std::optional<Scenario> aScenario)
  : mScenario(aScenario)
  , mRandom(aSeed)
  , mTransfers(kBuckets)
  , mOwners(kBuckets)
{
  for (std::size_t i = 0; i < kAgents; ++i) {
    mAgents.push_back(std::make_unique<Agent>());
    mAgents[i]->mName = AgentName(i);
    mAgents[i]->mWallOffsetMs = static_cast<std::int64_t>(mRandom.Below(14'000)) - 7'000;
    StartAgent(i);
  }
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    mOwners[bucket] = bucket % kAgents;
    mAgents[mOwners[bucket]]->mCore->OnFirstOwnership(bucket, mGeneration, Time(0));
  }
  for (std::size_t i = 0; i < kBalancers; ++i) {
    mBalancers.push_back(std::make_unique<Balancer>());
    mBalancers[i]->mOwners = mOwners;
    CrashBalancer(i);
  }
}

RequestSimulation::~RequestSimulation() = default;

std::int64_t RequestSimulation::Delay()
{
  // Most messages take some milliseconds, a few up to 400 ms, a large part of a request's deadline.
  return static_cast<std::int64_t>(Chance(0.05) ? mRandom.Below(400'000)
                                                : 500 + mRandom.Below(8'000));
}

void RequestSimulation::After(std::int64_t aDelay, Task aTask)
{
  mEvents.push({mNow + aDelay, mOrder++, std::move(aTask)});
}

RequestTime RequestSimulation::Time(std::int64_t aWallOffsetMs) const
{
  RequestTime time = At(mNow / 1000 + aWallOffsetMs);
  time.mNow = TimePoint(std::chrono::microseconds(1'000'000'000 + mNow));
  return time;
}

RequestTime RequestSimulation::TimeOf(const Agent& aAgent) const
{
  return Time(aAgent.mWallOffsetMs);
}

void RequestSimulation::ScheduleTicks(std::int64_t aStart)
{
  for (std::int64_t at = aStart; at < aStart + kTickSpanUs; at += kTickUs) {
    After(at, [this] {
      for (std::size_t i = 0; i < kAgents; ++i) {
        if (mAgents[i]->mCore) {
          PerformAgentActions(i, mAgents[i]->mCore->OnTick(TimeOf(*mAgents[i])));
        }
      }
      for (std::size_t i = 0; i < kBalancers; ++i) {
        PerformBalancerActions(i, mBalancers[i]->mCore->OnTick(Time(0)));
      }
    });
  }
}

void RequestSimulation::Run()
{
  if (mScenario) {
    After(Scenario::kRequestUs, [this] { NewRequest(); });
    After(mScenario->mFaultUs, [this] { Inject(mScenario->mFault); });
    ScheduleTicks(0);
  } else {
    for (const std::int64_t start : kBursts) {
      ScheduleBurst(start);
      ScheduleFaults(start);
      ScheduleTicks(start);
    }
  }
  while (!mEvents.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    CPPUNIT_ASSERT_MESSAGE("a bucket never became complete at its new owner", mNow < kEndUs);
    event.mTask();
  }
  for (const auto& call : mCalls) {
    mTotals.mWithoutReply += call->mOpen;
  }
}

} // namespace dandelionslip::requesttest
