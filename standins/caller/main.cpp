// Stand-in callers of one service: flows over UDP and requests over HTTP/2. For demos and tests.
#include "FlowCallers.h"
#include "RequestCallers.h"

#include "dandelionslip/Daemon/CommandLine.h"
#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace dandelionslip {

namespace {

constexpr char kUsage[] = R"(Stand-in callers for demos and tests.

Usage:
  standin-caller --balancers=LIST --prefix=TEXT --out=FILE [--flows=N] [--interval-ms=N]
                 [--feed-ms=N] [--open-over-ms=N] [--requests-per-second=N] [--seconds=N]
                 [--local=ADDRESS] [--seed=N]
  standin-caller (-h | --help)

Options:
  --balancers=LIST         Service address on each balancer, separated by commas; each datagram
                           goes to one of them at random.
  --prefix=TEXT            Prefix of the names of the service's upstreams.
  --out=FILE               Summary in JSON, rewritten every second.
  --flows=N                Flows kept open [default: 100].
  --interval-ms=N          Time between two quote messages of a flow [default: 200].
  --feed-ms=N              Interval of the feed in each flow, 0 for none [default: 0].
  --open-over-ms=N         Time over which the flows are opened [default: 1000].
  --requests-per-second=N  Requests started per second [default: 0].
  --seconds=N              Run time; a stop signal ends it earlier [default: 600].
  --local=ADDRESS          Local address [default: 127.0.0.1].
  --seed=N                 Seed of the random choices [default: 1].
)";

Result<std::vector<Endpoint>> ParseList(const std::string& aText)
{
  std::vector<Endpoint> endpoints;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    const auto endpoint = Endpoint::Parse(item);
    if (!endpoint) {
      return endpoint.as_failure();
    }
    endpoints.push_back(endpoint.value());
  }
  return endpoints;
}

// aRank: 0 for the smallest, 1 for the largest value.
double Percentile(std::vector<double> aValues, double aRank)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aRank * static_cast<double>(aValues.size() - 1))];
}

// Writes a temporary file and renames it, so that a reader never sees a partial summary.
void WriteSummary(const std::string& aPath, const FlowCallers& aFlows,
                  const RequestCallers& aRequests)
{
  Json summary;
  summary["flows"] = ToJson(aFlows.Statistics());
  summary["history"] = ToJson(aRequests.History());
  summary["reasons"] = aRequests.Reasons();
  const auto latencies = aRequests.Latencies();
  summary["latency_ms"] = {{"p50", Percentile(latencies, 0.5)},
                           {"p99", Percentile(latencies, 0.99)},
                           {"p999", Percentile(latencies, 0.999)}};
  const std::string temporary = aPath + ".tmp";
  std::ofstream(temporary) << summary.dump() << "\n";
  std::rename(temporary.c_str(), aPath.c_str());
}

int RunCaller(const ProgramArguments& aArguments)
{
  const auto balancers = ParseList(aArguments.at("--balancers").asString());
  if (!balancers || balancers.value().empty()) {
    std::cerr << "--balancers: expected address:port,...\n";
    return 2;
  }
  const auto number = [&](const char* aKey) { return aArguments.at(aKey).asLong(); };
  FlowCallerOptions flows;
  flows.mBalancers = balancers.value();
  const auto local = Endpoint::Parse(aArguments.at("--local").asString() + ":1");
  if (!local) {
    std::cerr << local.error().Message() << "\n";
    return 2;
  }
  flows.mLocal = local.value();
  flows.mLocal.mPort = 0;
  flows.mFlows = static_cast<std::size_t>(number("--flows"));
  flows.mInterval = Milliseconds(number("--interval-ms"));
  flows.mFeedInterval = Milliseconds(number("--feed-ms"));
  flows.mOpenOver = Milliseconds(number("--open-over-ms"));
  flows.mSeed = static_cast<std::uint64_t>(number("--seed"));
  RequestCallerOptions requests;
  requests.mBalancers = balancers.value();
  requests.mPerSecond = static_cast<double>(number("--requests-per-second"));
  requests.mSeed = flows.mSeed + 1;

  InitialiseLog("standin-caller", aArguments.at("--prefix").asString(), LogLevel::Info);
  WorkerPool pool(1);
  FlowCallers flowCallers(pool.Loop(), flows, aArguments.at("--prefix").asString());
  RequestCallers requestCallers(pool.Loop(), requests);
  if (const auto started = flowCallers.Start(); !started) {
    std::cerr << started.error().Message() << "\n";
    return 1;
  }
  requestCallers.Start();
  const std::string out = aArguments.at("--out").asString();
  constexpr Milliseconds kSummaryInterval{1'000};
  RepeatingTimer writer(pool.Loop(), kSummaryInterval,
                        [&] { WriteSummary(out, flowCallers, requestCallers); });
  constexpr Milliseconds kPoll{50};
  std::function<void()> finish = [&] {
    if (!requestCallers.Idle()) {
      CallAfter(pool.Loop(), kPoll, finish);
      return;
    }
    WriteSummary(out, flowCallers, requestCallers);
    flowCallers.Stop();
    CallAfter(pool.Loop(), kPoll, [&pool] { pool.Exit(0); });
  };
  const auto stop = [&] {
    requestCallers.Stop();
    finish();
  };
  pool.OnStop(stop);
  CallAfter(pool.Loop(), std::chrono::seconds(number("--seconds")), stop);
  return pool.Run();
}

} // namespace

} // namespace dandelionslip

int main(int aArgc, char** aArgv)
{
  using namespace dandelionslip;
  const auto parsed = ParseCommandLine(kUsage, "standin-caller", aArgc, aArgv);
  if (const int* exitCode = std::get_if<int>(&parsed)) {
    return *exitCode;
  }
  return RunCaller(std::get<ProgramArguments>(parsed));
}
