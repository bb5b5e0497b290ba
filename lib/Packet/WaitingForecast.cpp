// Integrates what upstreams take over time until a waiting opening has its turn.
#include "dandelionslip/Packet/WaitingForecast.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dandelionslip {

namespace {

// Time constant of AcceptedRate. Short, as demand may double within a second.
constexpr double kRateSeconds = 1.0;

// Longer waits don't differ, and a rate near zero must not overflow.
constexpr double kLongestSeconds = 3'600;

} // namespace

void AcceptedRate::OnOffered(TimePoint aNow)
{
  mAccepted = PerSecond(aNow) * kRateSeconds + 1;
  mDecayedAt = aNow;
}

void AcceptedRate::OnReturned(TimePoint aNow)
{
  mAccepted = std::max(PerSecond(aNow) * kRateSeconds - 1, 0.0);
  mDecayedAt = aNow;
}

double AcceptedRate::PerSecond(TimePoint aNow) const
{
  return mAccepted * std::exp(-Seconds(aNow - mDecayedAt) / kRateSeconds) / kRateSeconds;
}

std::optional<Milliseconds> ForecastWait(std::span<const ForecastUpstream> aUpstreams,
                                         std::size_t aBalancers, std::size_t aAhead,
                                         double aAcceptedPerSecond)
{
  struct Change
  {
    Milliseconds mAt;
    double mPerSecond;
  };

  std::vector<Change> changes;
  double perSecond = 0;
  for (const ForecastUpstream& upstream : aUpstreams) {
    if (upstream.mUnknown ||
        (upstream.mAccepts && !upstream.mCold && upstream.mWarmPerSecond <= 0)) {
      return Milliseconds{0};
    }
    if (!upstream.mAccepts) {
      continue;
    }
    if (upstream.mCold) {
      perSecond += upstream.mColdPerSecond;
      // A negative change marks an upstream whose rate is unknown, so that nothing need wait for
      // it.
      changes.push_back({upstream.mColdLeft, upstream.mWarmPerSecond > 0
                                               ? upstream.mWarmPerSecond - upstream.mColdPerSecond
                                               : -1.0});
    } else {
      perSecond += upstream.mWarmPerSecond;
    }
  }
  if (changes.empty() && perSecond <= 0) {
    return std::nullopt;
  }
  std::sort(changes.begin(), changes.end(),
            [](const Change& aLeft, const Change& aRight) { return aLeft.mAt < aRight.mAt; });
  // Each balancer gets an equal share, so that its own openings wait for those of all.
  const auto balancers = static_cast<double>(std::max<std::size_t>(aBalancers, 1));
  double wanted = static_cast<double>(aAhead + 1) * balancers;
  const auto left = [&] { return std::max(perSecond - aAcceptedPerSecond * balancers, 0.0); };
  Milliseconds at{0};
  const auto timeFor = [&] {
    return at + std::chrono::duration_cast<Milliseconds>(
                  std::chrono::duration<double>(std::min(wanted / left(), kLongestSeconds)));
  };
  for (const Change& change : changes) {
    const double taken = left() * std::chrono::duration<double>(change.mAt - at).count();
    if (taken >= wanted) {
      return timeFor();
    }
    wanted -= taken;
    at = change.mAt;
    if (change.mPerSecond < 0) {
      return at;
    }
    perSecond += change.mPerSecond;
  }
  return left() > 0 ? std::optional(timeFor()) : std::nullopt;
}

} // namespace dandelionslip
