// Leases that limit how long a balancer may send to each data centre.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace dandelionslip {

/// Time until which a balancer may send to one data centre. Extended by the balancer's own lease
/// from control and by state probes that agents of the data centre answer. IsValid may be called
/// from any thread; ExtendTo only from one thread at a time.
class DataCentreLease
{
public:
  bool IsValid(TimePoint aNow) const
  {
    return aNow.time_since_epoch().count() <= mValidUntil.load(std::memory_order_relaxed);
  }

  /// Extends the lease to aUntil; never shortens it.
  void ExtendTo(TimePoint aUntil)
  {
    const auto until = aUntil.time_since_epoch().count();
    if (until > mValidUntil.load(std::memory_order_relaxed)) {
      mValidUntil.store(until, std::memory_order_relaxed);
    }
  }

private:
  std::atomic<std::int64_t> mValidUntil{-1};
};

/// Leases by data centre name; shared between the routing core and its snapshots.
using DataCentreLeases = std::map<std::string, std::shared_ptr<DataCentreLease>>;

} // namespace dandelionslip
