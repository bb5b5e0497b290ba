// Output of benchmark results and registry of benchmarks.
#include "BenchReport.h"

#include <cstdlib>
#include <iostream>

namespace dandelionslip {

void BenchReport::Add(BenchResult aResult)
{
  std::cout << aResult.mName << " [" << aResult.mDeployment << "] " << aResult.mValue << " "
            << aResult.mUnit << std::endl;
  mResults.push_back(std::move(aResult));
}

Json BenchReport::ToJson() const
{
  const char* commit = std::getenv("DANDELIONSLIP_COMMIT");
  Json results = Json::array();
  for (const BenchResult& result : mResults) {
    results.push_back({{"name", result.mName},
                       {"deployment", result.mDeployment},
                       {"value", result.mValue},
                       {"unit", result.mUnit},
                       {"baseline", result.mBaseline ? Json(*result.mBaseline) : Json()},
                       {"target", result.mTarget ? Json(*result.mTarget) : Json()},
                       {"met", result.mTarget ? Json(result.mValue <= *result.mTarget) : Json()}});
  }
  return {{"commit", commit == nullptr ? "unknown" : commit},
          {"seed", mOptions.mSeed},
          {"results", std::move(results)}};
}

std::vector<Benchmark>& Benchmarks()
{
  static std::vector<Benchmark> benchmarks;
  return benchmarks;
}

} // namespace dandelionslip
