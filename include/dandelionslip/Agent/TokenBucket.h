// Limits the rate of events.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// Token bucket whose capacity is the number of tokens produced in kBurst, but at least one. Not
/// thread-safe.
class TokenBucket
{
public:
  /// A full bucket permits at once as many events as the rate allows in this time.
  static constexpr Milliseconds kBurst{100};

  /// aPerSecond must be positive.
  TokenBucket(double aPerSecond, TimePoint aNow);

  /// Changes the rate; tokens above the new capacity are dropped.
  void SetRate(double aPerSecond, TimePoint aNow);

  /// Takes a token if there is one.
  bool TryTake(TimePoint aNow);

  /// Time in which the rate produces one token.
  RuntimeClock::duration Interval() const;

private:
  double Capacity() const;
  void Refill(TimePoint aNow);

  double mPerSecond;
  double mTokens;
  TimePoint mFilledAt;
};

} // namespace dandelionslip
