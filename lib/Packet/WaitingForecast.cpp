// Integrates what upstreams take over time until a waiting opening has its turn.
#include "dandelionslip/Packet/WaitingForecast.h"

#include <algorithm>
#include <vector>

namespace dandelionslip {

std::optional<Milliseconds> ForecastWait(std::span<const ForecastUpstream> aUpstreams,
                                         std::size_t aBalancers, std::size_t aAhead)
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
  double wanted = static_cast<double>((aAhead + 1) * std::max<std::size_t>(aBalancers, 1));
  Milliseconds at{0};
  const auto timeFor = [&] {
    return at + std::chrono::duration_cast<Milliseconds>(
                  std::chrono::duration<double>(wanted / perSecond));
  };
  for (const Change& change : changes) {
    const double taken = perSecond * std::chrono::duration<double>(change.mAt - at).count();
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
  return timeFor();
}

} // namespace dandelionslip
