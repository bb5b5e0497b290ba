// Implementation of the pausable clock.
#include "dandelionslip/Support/RuntimeClock.h"

#include <atomic>

namespace dandelionslip {

namespace {

constexpr std::int64_t kRunning = -1;

// Reading of the paused clock, or kRunning.
std::atomic<std::int64_t> gPausedAt{kRunning};
// Difference between the runtime clock and the steady clock.
std::atomic<std::int64_t> gOffset{0};

std::int64_t SteadyCount()
{
  return std::chrono::duration_cast<RuntimeClock::duration>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

} // namespace

RuntimeClock::time_point RuntimeClock::now()
{
  const std::int64_t paused = gPausedAt.load();
  return time_point(duration(paused == kRunning ? SteadyCount() + gOffset.load() : paused));
}

void RuntimeClock::Pause()
{
  gPausedAt.store(now().time_since_epoch().count());
}

void RuntimeClock::Advance(duration aStep)
{
  if (gPausedAt.load() != kRunning) {
    gPausedAt.fetch_add(aStep.count());
  }
}

void RuntimeClock::Resume()
{
  if (const std::int64_t paused = gPausedAt.load(); paused != kRunning) {
    gOffset.store(paused - SteadyCount());
    gPausedAt.store(kRunning);
  }
}

std::int64_t WallClockMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace dandelionslip
