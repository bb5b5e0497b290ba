// Benchmark registry and report.
#pragma once

#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// A measured value.
struct BenchResult
{
  std::string mName;
  std::string mDeployment; ///< Configuration measured: sizes, threads.
  double mValue = 0;
  std::string mUnit;
  std::optional<double> mBaseline; ///< Value of the ring strategy, for comparison.
  std::optional<double> mTarget;   ///< Largest acceptable value.
};

/// Options of a run.
struct BenchOptions
{
  bool mQuick = false;
  std::uint64_t mSeed = 1;
};

/// Collects results and prints each one when it is added.
class BenchReport
{
public:
  explicit BenchReport(BenchOptions aOptions)
    : mOptions(aOptions)
  {
  }

  const BenchOptions& Options() const { return mOptions; }
  void Add(BenchResult aResult);
  Json ToJson() const;

private:
  BenchOptions mOptions;
  std::vector<BenchResult> mResults;
};

using Benchmark = std::function<void(BenchReport&)>;

/// Registered benchmarks. Those of one file are in the order of their RegisterBenchmark objects.
std::vector<Benchmark>& Benchmarks();

/// Registers a benchmark on construction; for objects at namespace scope.
struct RegisterBenchmark
{
  explicit RegisterBenchmark(Benchmark aBenchmark)
  {
    Benchmarks().push_back(std::move(aBenchmark));
  }
};

} // namespace dandelionslip
