// Implementation of the pausable clock.
#include "dandelionslip/Support/RuntimeClock.h"

#include <atomic>
#include <ctime>

namespace dandelionslip {

namespace {

constexpr std::int64_t kRunning = -1;

// Time at which the clock is paused, or kRunning.
std::atomic<std::int64_t> gPausedAt{kRunning};
// Difference between RuntimeClock and CLOCK_BOOTTIME.
std::atomic<std::int64_t> gOffset{0};

std::int64_t BootTimeCount()
{
  // CLOCK_MONOTONIC stops while a VM is suspended. Leases and read confirmations would then still
  // be valid after a long suspension.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return (std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)).count();
}

} // namespace

RuntimeClock::time_point RuntimeClock::now()
{
  const std::int64_t paused = gPausedAt.load();
  return time_point(duration(paused == kRunning ? BootTimeCount() + gOffset.load() : paused));
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
    gOffset.store(paused - BootTimeCount());
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
