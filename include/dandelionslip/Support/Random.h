// Source of random numbers that is passed to the code that needs it.
#pragma once

#include <cstdint>
#include <random>

namespace dandelionslip {

/// Seeded random numbers; equal seeds give equal sequences. Not thread-safe.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// A uniformly distributed 64-bit value.
  std::uint64_t Next() { return mEngine(); }

  /// A uniformly distributed value in [0, aBound); aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
  }

  /// A uniformly distributed value in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine); }

private:
  std::mt19937_64 mEngine;
};

/// A random seed from the operating system. Only for production code; tests use fixed seeds.
std::uint64_t SystemSeed();

} // namespace dandelionslip
