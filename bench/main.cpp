// Runs all registered benchmarks and writes the JSON report.
#include "BenchReport.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>

namespace {

constexpr const char* kUsage = R"(Usage: dandelionslip-bench [--quick] [--seed N] [--out FILE]

Options:
  --quick     Shorter, less precise measurements.
  --seed N    Seed of the generated inputs [default: 1].
  --out FILE  File that receives the report [default: build/bench.json].
The environment variable DANDELIONSLIP_COMMIT gives the measured commit, which the report names.
)";

} // namespace

int main(int aArgc, char** aArgv)
{
  auto arguments = docopt::docopt(kUsage, {aArgv + 1, aArgv + aArgc});
  dandelionslip::BenchReport report(
    {arguments["--quick"].asBool(), static_cast<std::uint64_t>(arguments["--seed"].asLong())});
  for (const auto& benchmark : dandelionslip::Benchmarks()) {
    benchmark(report);
  }
  const std::string path = arguments["--out"].asString();
  std::ofstream out(path);
  out << report.ToJson().dump(2) << "\n";
  if (!out.flush()) {
    std::cerr << "cannot write " << path << "\n";
    return 1;
  }
  return 0;
}
