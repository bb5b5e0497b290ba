// Expected waiting time beside an upstream, and the queue limit learned from its rejections.
#include "dandelionslip/Packet/OpeningAdmission.h"

#include "dandelionslip/Support/Durations.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cmath>

namespace dandelionslip {

namespace {

// The limit is raised by one after this time without a rejection, because the rejection may have
// had another cause, for example flows that an earlier process of the agent opened.
constexpr Milliseconds kRaiseLimitAfter{5'000};

// An answer in less than this part of the shortest run is a rejection.
constexpr double kRejectionFraction = 0.5;

// A request may wait this part of its expected run before another upstream is tried: returning it
// costs a message each way and a wait of the same order.
constexpr double kTolerableWaitFraction = 0.25;

// The goal must hold for this share of the requests that start late.
constexpr double kGoalLevel = 0.9;

// A caller that has not sent its request after this time has taken another upstream's answer, or a
// packet is lost. More than ten times the measured 8 ms, and less than the 200 ms after which
// callers repeat a packet: with 1,000 ms, a few lost packets kept both slots of an idle upstream
// taken.
constexpr Milliseconds kRequestTimeout{100};

// Weight of a new sample in the mean round trip.
constexpr int kRoundTripSamples = 16;

// The part of the queue that less urgent openings may fill while more urgent ones are returned.
constexpr double kPartForLesser = 0.5;

// More urgent openings count as returned when this share of their last offers was. With 42
// upstreams at 90% load, fewer are.
constexpr double kReturnedShare = 0.1;

// Offers before the share is used, and the time constant with which earlier offers lose weight.
constexpr double kMinLastOffers = 4;
constexpr double kLastOfferSeconds = 2;

// A queue of this part of the goal is acceptable for openings that wait at balancers.
constexpr int kGoalPartForQueue = 2;

// Upstreams with up to this many slots need no memory allocation per offer.
constexpr std::size_t kUsualSlots = 16;

} // namespace

void OpeningAdmission::OnUpstreamStarted(std::uint32_t aSlots)
{
  mSlots = aSlots;
  mCosts = {};
  mEntries.clear();
  mInProgress.clear();
  mRunning = 0;
  mLastOffers.clear();
  mQueueLimit = kInitialQueueFactor * aSlots;
}

void OpeningAdmission::OnUpstreamFound(std::uint32_t aSlots, TimePoint aNow)
{
  mCosts = {};
  SetSlots(aSlots, aNow);
}

void OpeningAdmission::SetSlots(std::uint32_t aSlots, TimePoint aNow)
{
  if (aSlots == mSlots) {
    return;
  }
  mSlots = aSlots;
  mQueueLimit = kInitialQueueFactor * aSlots;
  StartNext(aNow);
}

void OpeningAdmission::OnOpened(const FlowKey& aFlow, std::uint64_t aRoute, TimePoint aNow)
{
  const auto [item, isNew] = mEntries.try_emplace(aFlow, Entry{aRoute, aNow, {}, {}, 0});
  if (!isNew && !item->second.mRequestedAt) {
    item->second.mOpenedAt = aNow;
  }
}

void OpeningAdmission::OnRequest(const FlowKey& aFlow, std::uint64_t aRoute, TimePoint aNow)
{
  const auto [item, isNew] = mEntries.try_emplace(aFlow, Entry{aRoute, aNow, {}, {}, 0});
  Entry& entry = item->second;
  if (entry.mRequestedAt) {
    return;
  }
  if (!isNew && aNow - entry.mOpenedAt <= kRequestTimeout) {
    mRoundTrip += (aNow - entry.mOpenedAt - mRoundTrip) / kRoundTripSamples;
  }
  entry.mRequestedAt = aNow;
  entry.mAheadOfRequest = static_cast<std::uint32_t>(mInProgress.size());
  mInProgress.push_back(aFlow);
  StartNext(aNow);
}

// Upstreams run requests in the order of their arrival.
void OpeningAdmission::StartNext(TimePoint aNow)
{
  for (const FlowKey& flow : mInProgress) {
    if (mRunning >= mSlots) {
      return;
    }
    Entry& entry = mEntries.at(flow);
    if (!entry.mStartedAt) {
      entry.mStartedAt = aNow;
      ++mRunning;
    }
  }
}

void OpeningAdmission::OnAnswered(const FlowKey& aFlow, TimePoint aNow)
{
  const auto found = mEntries.find(aFlow);
  if (found == mEntries.end() || !found->second.mRequestedAt) {
    return;
  }
  const Entry& entry = found->second;
  if (entry.mStartedAt) {
    mCosts.OnCompleted(entry.mRoute, aNow - *entry.mStartedAt);
  } else {
    LearnQueueLimit(entry, aNow);
  }
  Remove(aFlow, aNow);
}

// An answer to a request that waits behind others is a rejection if it comes faster than any run.
void OpeningAdmission::LearnQueueLimit(const Entry& aEntry, TimePoint aNow)
{
  const auto shortest = mCosts.Shortest();
  const std::chrono::duration<double> duration = aNow - *aEntry.mRequestedAt;
  if (shortest && duration < *shortest * kRejectionFraction) {
    mQueueLimit = std::clamp(aEntry.mAheadOfRequest, mSlots, mQueueLimit);
    mLimitChangedAt = aNow;
  }
}

void OpeningAdmission::OnGone(const FlowKey& aFlow, TimePoint aNow)
{
  Remove(aFlow, aNow);
}

void OpeningAdmission::Remove(const FlowKey& aFlow, TimePoint aNow)
{
  const auto found = mEntries.find(aFlow);
  if (found == mEntries.end()) {
    return;
  }
  if (found->second.mRequestedAt) {
    std::erase(mInProgress, aFlow);
  }
  if (found->second.mStartedAt) {
    --mRunning;
  }
  mEntries.erase(found);
  StartNext(aNow);
}

void OpeningAdmission::ForgetOverdueOpenings(TimePoint aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    return !aItem.second.mRequestedAt && aNow - aItem.second.mOpenedAt > kRequestTimeout;
  });
}

void OpeningAdmission::Expire(TimePoint aNow)
{
  ForgetOverdueOpenings(aNow);
  if (aNow - mLimitChangedAt > kRaiseLimitAfter && mInProgress.size() >= mQueueLimit) {
    ++mQueueLimit;
    mLimitChangedAt = aNow;
  }
}

std::uint32_t OpeningAdmission::Ahead() const
{
  return static_cast<std::uint32_t>(mEntries.size());
}

bool OpeningAdmission::HasFreeSlot() const
{
  return mInProgress.size() < mSlots;
}

std::optional<RuntimeClock::duration> OpeningAdmission::TimeToFreeSlot(TimePoint aNow) const
{
  if (mEntries.size() < mSlots) {
    return RuntimeClock::duration{0};
  }
  const auto mean = mCosts.Mean();
  if (!mean) {
    return std::nullopt;
  }
  boost::container::small_vector<RuntimeClock::duration, kUsualSlots> freeAfter(
    mSlots, RuntimeClock::duration{0});
  std::size_t running = 0;
  const auto addWaiting = [&](std::uint64_t aRoute) {
    *std::min_element(freeAfter.begin(), freeAfter.end()) += mCosts.Mean(aRoute).value_or(*mean);
  };
  for (const FlowKey& flow : mInProgress) {
    const Entry& entry = mEntries.at(flow);
    if (entry.mStartedAt && running < freeAfter.size()) {
      freeAfter[running++] =
        mCosts.Remaining(entry.mRoute, aNow - *entry.mStartedAt).value_or(*mean);
    } else {
      addWaiting(entry.mRoute);
    }
  }
  for (const auto& [flow, entry] : mEntries) {
    if (!entry.mRequestedAt) {
      addWaiting(entry.mRoute);
    }
  }
  return *std::min_element(freeAfter.begin(), freeAfter.end());
}

std::optional<RuntimeClock::duration> OpeningAdmission::ExpectedWait(TimePoint aNow) const
{
  const auto time = TimeToFreeSlot(aNow);
  return time ? std::optional(std::max(*time - mRoundTrip, RuntimeClock::duration{0}))
              : std::nullopt;
}

void OpeningAdmission::LastOffers::Add(bool aReturned, TimePoint aNow)
{
  const double kept = std::exp(-Seconds(aNow - mDecayedAt) / kLastOfferSeconds);
  mDecayedAt = aNow;
  mCount = mCount * kept + 1;
  mReturned = mReturned * kept + (aReturned ? 1 : 0);
}

// Whether offers of a more urgent priority have been returned lately.
bool OpeningAdmission::ReturnsMoreUrgent(std::uint32_t aPriority, TimePoint aNow) const
{
  return std::any_of(
    mLastOffers.begin(), mLastOffers.lower_bound(aPriority), [aNow](const auto& aItem) {
      const LastOffers& offers = aItem.second;
      const double kept = std::exp(-Seconds(aNow - offers.mDecayedAt) / kLastOfferSeconds);
      return offers.mCount * kept >= kMinLastOffers &&
             offers.mReturned >= kReturnedShare * offers.mCount;
    });
}

bool OpeningAdmission::Accepts(const OfferedOpening& aOpening, TimePoint aNow)
{
  if (mEntries.size() >= mSlots) {
    ForgetOverdueOpenings(aNow);
  }
  const bool accepts = HasRoomFor(aOpening, aNow);
  if (aOpening.mLast && aOpening.mGoal.count() > 0) {
    mLastOffers[aOpening.mPriority].Add(!accepts, aNow);
  }
  return accepts;
}

bool OpeningAdmission::HasRoomFor(const OfferedOpening& aOpening, TimePoint aNow) const
{
  if (mEntries.size() < mSlots) {
    return true;
  }
  if (mEntries.size() >= mQueueLimit) {
    return false;
  }
  const auto wait = ExpectedWait(aNow);
  if (!wait) {
    return aOpening.mLast;
  }
  const std::chrono::duration<double> run = mCosts.Mean(aOpening.mRoute).value_or(*wait);
  if (!aOpening.mLast) {
    return *wait <= run * kTolerableWaitFraction;
  }
  if (aOpening.mGoal.count() == 0) {
    return *wait <= aOpening.mTimeout / kGoalPartForQueue;
  }
  if (static_cast<double>(mEntries.size()) >= mSlots + kPartForLesser * (mQueueLimit - mSlots) &&
      ReturnsMoreUrgent(aOpening.mPriority, aNow)) {
    return false;
  }
  // The requests of less urgent routes leave the rear part of the queue to those of urgent ones.
  const double part = 2.0 / (2.0 + aOpening.mPriority);
  const std::chrono::duration<double> longest =
    (aOpening.mGoal - mRoundTrip - mCosts.Quantile(aOpening.mRoute, kGoalLevel).value_or(*wait)) *
    part;
  return *wait <= std::max(longest, run);
}

std::uint32_t OpeningAdmission::Room(Milliseconds aInterval, TimePoint /*aNow*/) const
{
  const auto mean = mCosts.Mean();
  const double perSlot = mean ? std::chrono::duration<double>(aInterval) / *mean : 1.0;
  const double wanted = std::min<double>(mSlots * (1.0 + perSlot), mQueueLimit);
  return static_cast<std::uint32_t>(
    std::max(0.0, std::floor(wanted - static_cast<double>(mEntries.size()))));
}

} // namespace dandelionslip
