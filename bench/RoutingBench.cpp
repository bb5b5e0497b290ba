// Benchmarks of assignment tables (imbalance, moved buckets, time to build and look up), routing
// decisions and the memory of the flow table.
#include "BenchReport.h"
#include "dandelionslip/Agent/FlowTable.h"
#include "dandelionslip/Route/AssignmentTable.h"
#include "dandelionslip/Route/FlowHash.h"
#include "dandelionslip/Route/RoutingCore.h"
#include "dandelionslip/Support/Random.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>

namespace dandelionslip {

namespace {

constexpr std::uint32_t kBuckets = 1024;
constexpr std::size_t kMembers = 7;

using Clock = std::chrono::steady_clock;

double NanosecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::nano>(Clock::now() - aStart).count();
}

std::vector<WeightedMember> MakeMembers(Random& aRandom)
{
  std::vector<WeightedMember> members;
  for (std::size_t i = 0; i < kMembers; ++i) {
    members.push_back(
      {"upstream-" + std::to_string(i), static_cast<std::uint32_t>(250 + aRandom.Below(1'750))});
  }
  return members;
}

std::vector<std::string> OwnerNames(const AssignmentStrategy& aStrategy,
                                    const std::vector<WeightedMember>& aMembers)
{
  std::vector<std::string> names;
  for (const MemberIndex owner : aStrategy.Owners(aMembers, kBuckets)) {
    names.push_back(aMembers[owner].mMember);
  }
  return names;
}

// Largest ratio, over all members, of the share of buckets owned to the share given by weight.
double Imbalance(const std::vector<std::string>& aOwners,
                 const std::vector<WeightedMember>& aMembers)
{
  double sum = 0;
  for (const WeightedMember& member : aMembers) {
    sum += member.mWeight;
  }
  double highest = 0;
  for (const WeightedMember& member : aMembers) {
    const auto owned = std::count(aOwners.begin(), aOwners.end(), member.mMember);
    highest = std::max(highest, static_cast<double>(owned) / kBuckets / (member.mWeight / sum));
  }
  return highest;
}

// Share of buckets that change their owner.
double MovedShare(const std::vector<std::string>& aBefore, const std::vector<std::string>& aAfter)
{
  std::size_t moved = 0;
  for (std::size_t i = 0; i < aBefore.size(); ++i) {
    moved += aBefore[i] != aAfter[i] ? 1 : 0;
  }
  return static_cast<double>(moved) / static_cast<double>(aBefore.size());
}

struct TableMeasurements
{
  double mImbalance = 0;
  double mMovedOnLeave = 0;
  double mMovedOnWeight = 0;
  double mBuildUs = 0;
};

TableMeasurements MeasureTable(const AssignmentStrategy& aStrategy, const BenchOptions& aOptions)
{
  Random random(aOptions.mSeed);
  const std::size_t rounds = aOptions.mQuick ? 20 : 200;
  TableMeasurements measured;
  for (std::size_t round = 0; round < rounds; ++round) {
    const auto members = MakeMembers(random);
    const auto start = Clock::now();
    const auto before = OwnerNames(aStrategy, members);
    measured.mBuildUs += NanosecondsSince(start) / 1'000 / static_cast<double>(rounds);
    measured.mImbalance = std::max(measured.mImbalance, Imbalance(before, members));
    auto withoutLast = members;
    withoutLast.pop_back();
    auto withHigherWeight = members;
    withHigherWeight[0].mWeight = withHigherWeight[0].mWeight * 5 / 4;
    const auto share = 1.0 / static_cast<double>(rounds);
    measured.mMovedOnLeave += MovedShare(before, OwnerNames(aStrategy, withoutLast)) * share;
    measured.mMovedOnWeight += MovedShare(before, OwnerNames(aStrategy, withHigherWeight)) * share;
  }
  return measured;
}

void BenchTables(BenchReport& aReport)
{
  const std::string deployment = "7 members, 1024 buckets, unequal weights";
  const auto ring = MeasureTable(*MakeRingStrategy(), aReport.Options());
  for (const auto& strategy :
       {MakeRendezvousStrategy(), MakeMaglevStrategy(), MakeRingStrategy()}) {
    const TableMeasurements measured = MeasureTable(*strategy, aReport.Options());
    const std::string name(strategy->Name());
    // The target applies to the strategy in use; the others are measured for comparison.
    const bool inUse = name == "rendezvous";
    aReport.Add({"balance.imbalance." + name, deployment, measured.mImbalance, "highest/fair",
                 ring.mImbalance, inUse ? std::optional(1.05) : std::nullopt});
    aReport.Add({"balance.moved_on_leave." + name, deployment, measured.mMovedOnLeave, "share",
                 ring.mMovedOnLeave, std::nullopt});
    aReport.Add({"balance.moved_on_weight_step." + name, deployment, measured.mMovedOnWeight,
                 "share", ring.mMovedOnWeight, std::nullopt});
    aReport.Add({"speed.table_build." + name, deployment, measured.mBuildUs, "us", ring.mBuildUs,
                 std::nullopt});
  }
}

void BenchLookup(BenchReport& aReport)
{
  Random random(aReport.Options().mSeed);
  const AssignmentTable table(MakeMembers(random), kBuckets);
  const std::size_t lookups = aReport.Options().mQuick ? 1'000'000 : 20'000'000;
  std::uint64_t hash = random.Next();
  std::uint64_t sum = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < lookups; ++i) {
    hash = hash * 6364136223846793005U + 1442695040888963407U;
    sum += table.Owner(BucketOf(hash >> 20U, kBuckets));
  }
  const double perLookup = NanosecondsSince(start) / static_cast<double>(lookups);
  // The use of the sum keeps the compiler from removing the loop.
  aReport.Add({"speed.table_lookup", sum == 0 ? "no owners" : "7 members, 1024 buckets", perLookup,
               "ns", std::nullopt, std::nullopt});
}

Endpoint MakeEndpoint(std::uint32_t aHost, std::uint16_t aPort)
{
  Endpoint endpoint = Endpoint::Parse("127.0.0.1:1").value();
  for (unsigned i = 0; i < 3; ++i) {
    endpoint.mAddress[15 - i] = static_cast<std::uint8_t>(aHost >> (8 * i));
  }
  endpoint.mPort = aPort;
  return endpoint;
}

std::shared_ptr<const RoutingSnapshot> MakeSnapshot(const Endpoint& aService, TimePoint aNow)
{
  AnnouncementAnswer answer;
  answer.mConfirmed = true;
  answer.mLease = std::chrono::hours(1);
  answer.mConfiguration.emplace().mRevision = 1;
  ServiceEntry& entry = answer.mConfiguration->mServices["planner"];
  entry.mId = 1;
  entry.mSpec.mName = "planner";
  entry.mSpec.mAddresses = {aService.ToString()};
  answer.mView.emplace().mRevision = 1;
  Random random(1);
  const auto members = MakeMembers(random);
  for (std::uint16_t i = 0; i < kMembers; ++i) {
    const std::string& name = members[i].mMember;
    answer.mView->mMembers[name] = {name,
                                    MemberKind::Agent,
                                    "planner",
                                    "dc-" + std::to_string(i % 3),
                                    MakeEndpoint(i, 9'000).ToString(),
                                    "",
                                    1,
                                    MemberState::Serving,
                                    ""};
  }
  answer.mView->mServices["planner"] = {1, {{1, members}}};
  RoutingCore core(RoutingSettings{MakeEndpoint(1, 1)});
  core.OnAnnouncementAnswer(answer, aNow);
  return core.Snapshot();
}

// Mean time of a routing decision in one worker, in nanoseconds. -1 if not every packet was
// forwarded: such a run measures something else.
double MeasureWorker(const RoutingSnapshot& aSnapshot, const std::vector<Endpoint>& aCallers,
                     const Endpoint& aService, TimePoint aNow, std::size_t aPackets,
                     std::size_t aFirstCaller)
{
  const Endpoint balancer = MakeEndpoint(1, 1);
  std::size_t forwarded = 0;
  std::size_t next = aFirstCaller % aCallers.size();
  const auto start = Clock::now();
  for (std::size_t i = 0; i < aPackets; ++i) {
    const auto decision = aSnapshot.Route(aCallers[next], aService, false, balancer, aNow);
    forwarded += std::holds_alternative<ForwardDatagram>(decision) ? 1 : 0;
    next = next + 1 == aCallers.size() ? 0 : next + 1;
  }
  const double perPacket = NanosecondsSince(start) / static_cast<double>(aPackets);
  return forwarded == aPackets ? perPacket : -1;
}

double MeasureRoute(std::size_t aFlows, std::size_t aWorkers, const BenchOptions& aOptions)
{
  const Endpoint service = MakeEndpoint(2, 80);
  const TimePoint now{std::chrono::seconds(10)};
  const auto snapshot = MakeSnapshot(service, now);
  Random random(aOptions.mSeed);
  std::vector<Endpoint> callers;
  for (std::size_t i = 0; i < aFlows; ++i) {
    callers.push_back(MakeEndpoint(static_cast<std::uint32_t>(random.Below(1U << 24U)),
                                   static_cast<std::uint16_t>(1 + random.Below(65'535))));
  }
  const std::size_t packets = aOptions.mQuick ? 1'000'000 : 5'000'000;
  std::vector<double> times(aWorkers);
  std::vector<std::thread> workers;
  for (std::size_t worker = 0; worker < aWorkers; ++worker) {
    workers.emplace_back([&, worker] {
      times[worker] =
        MeasureWorker(*snapshot, callers, service, now, packets, worker * aFlows / aWorkers);
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return *std::max_element(times.begin(), times.end());
}

void BenchRoute(BenchReport& aReport)
{
  constexpr double kTargetNs = 150;
  for (const std::size_t workers : {std::size_t{1}, std::size_t{4}}) {
    std::map<std::size_t, double> times;
    for (const std::size_t flows : {5'000, 50'000, 500'000}) {
      const std::string deployment =
        std::to_string(flows) + " flows, " + std::to_string(workers) + " workers";
      times[flows] = MeasureRoute(flows, workers, aReport.Options());
      aReport.Add({"speed.route." + std::to_string(flows) + "." + std::to_string(workers),
                   deployment, times[flows], "ns", std::nullopt,
                   flows == 500'000 ? std::optional(kTargetNs) : std::nullopt});
    }
    aReport.Add({"speed.route_growth." + std::to_string(workers),
                 "500000 flows relative to 50000, " + std::to_string(workers) + " workers",
                 times[500'000] / times[50'000], "ratio", std::nullopt, 1.2});
  }
}

void BenchFlowTable(BenchReport& aReport)
{
  constexpr std::size_t kFlows = 500'000;
  Random random(aReport.Options().mSeed);
  FlowTable table(kFlows);
  for (std::size_t i = 0; i < kFlows; ++i) {
    FlowEntry entry;
    entry.mFlow = random.Next();
    table.Insert(entry);
  }
  aReport.Add({"flows.bytes_a_flow", "agent flow table, 500000 flows",
               static_cast<double>(table.MemoryBytes()) / static_cast<double>(table.Size()),
               "bytes", std::nullopt, std::nullopt});
}

const RegisterBenchmark kTables(BenchTables);
const RegisterBenchmark kLookup(BenchLookup);
const RegisterBenchmark kRoute(BenchRoute);
const RegisterBenchmark kFlowTable(BenchFlowTable);

} // namespace

} // namespace dandelionslip
