// Checks rules of settings files that the field descriptions cannot express.
#include "SettingsChecker.h"

#include "dandelionslip/Config/LoadSettings.h"

#include <algorithm>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::string_view kTcp = "tcp";
constexpr std::string_view kUdp = "udp";

std::string KeyWithIndex(std::string_view aKey, std::size_t aIndex)
{
  return std::string(aKey) + "[" + std::to_string(aIndex) + "]";
}

std::string Text(Milliseconds aValue)
{
  return std::to_string(aValue.count());
}

void CheckControlEndpoints(SettingsChecker& aChecker, const std::vector<std::string>& aEndpoints)
{
  std::set<Endpoint> seen;
  for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
    const std::string key = KeyWithIndex("control_endpoints", i);
    if (const auto endpoint = aChecker.CheckEndpoint(key, aEndpoints[i])) {
      aChecker.Require(seen.insert(*endpoint).second, key, Quoted(aEndpoints[i]),
                       "distinct endpoints");
    }
  }
}

void CheckCommon(SettingsChecker& aChecker, const CommonSettings& aSettings)
{
  aChecker.CheckName("node", aSettings.mNode);
  aChecker.CheckName("data_centre", aSettings.mDataCentre);
  if (!aSettings.mMetricsEndpoint.empty()) {
    aChecker.CheckDistinctEndpoint("metrics_endpoint", aSettings.mMetricsEndpoint, kTcp);
  }
  CheckControlEndpoints(aChecker, aSettings.mControlEndpoints);
}

// Balancers and agents need at least one control replica.
void CheckMember(SettingsChecker& aChecker, const CommonSettings& aSettings)
{
  CheckCommon(aChecker, aSettings);
  aChecker.Require(!aSettings.mControlEndpoints.empty(), "control_endpoints", "none",
                   "at least one address:port of a control replica");
}

void CheckRaftGroup(SettingsChecker& aChecker, const ControlSettings& aSettings)
{
  std::set<std::string> names{aSettings.mNode};
  std::set<Endpoint> endpoints;
  if (const auto own = Endpoint::Parse(aSettings.mEndpoint)) {
    endpoints.insert(own.value());
  }
  for (std::size_t i = 0; i < aSettings.mPeers.size(); ++i) {
    const auto& [name, text] = aSettings.mPeers[i];
    const std::string key = KeyWithIndex("peers", i);
    aChecker.CheckName(key + ".name", name);
    aChecker.Require(names.insert(name).second, key + ".name", Quoted(name),
                     "a name other than this node's and the other peers'");
    if (const auto endpoint = aChecker.CheckEndpoint(key + ".endpoint", text)) {
      aChecker.Require(endpoints.insert(*endpoint).second, key + ".endpoint", Quoted(text),
                       "an endpoint other than this node's and the other peers'");
    }
  }
  for (std::size_t i = 0; i < aSettings.mInitialReplicas.size(); ++i) {
    aChecker.CheckEndpoint(KeyWithIndex("founders", i), aSettings.mInitialReplicas[i]);
  }
  const bool knowsGroup = !aSettings.mPeers.empty() || !aSettings.mInitialReplicas.empty();
  aChecker.Require(!aSettings.mJoin || knowsGroup, "join", "true without peers and founders",
                   "at least one peer or founder of the group to join");
}

// One or two delayed heartbeats must not start an election. The range of election timeouts must not
// be empty, because replicas that time out at the same time split the votes.
void CheckTimes(SettingsChecker& aChecker, const ControlSettings& aSettings)
{
  constexpr int kHeartbeatsPerElectionTimeout = 3;
  constexpr int kAnnouncementsPerLease = 2;
  const auto minElectionTimeout = kHeartbeatsPerElectionTimeout * aSettings.mHeartbeat;
  aChecker.Require(aSettings.mElectionTimeoutMin > minElectionTimeout, "election_timeout_min_ms",
                   Text(aSettings.mElectionTimeoutMin),
                   "more than 3 times heartbeat_ms, that is above " + Text(minElectionTimeout));
  aChecker.Require(aSettings.mElectionTimeoutMax > aSettings.mElectionTimeoutMin,
                   "election_timeout_max_ms", Text(aSettings.mElectionTimeoutMax),
                   "more than election_timeout_min_ms, that is above " +
                     Text(aSettings.mElectionTimeoutMin));
  const auto minLease = kAnnouncementsPerLease * aSettings.mAnnounceInterval;
  aChecker.Require(aSettings.mLease >= minLease, "lease_ms", Text(aSettings.mLease),
                   "at least 2 times announce_interval_ms, that is " + Text(minLease));
}

bool IsPathCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

void CheckUpstream(SettingsChecker& aChecker, const AgentSettings& aSettings)
{
  aChecker.CheckDistinctEndpoint("upstream_datagram_endpoint", aSettings.mUpstreamDatagramEndpoint,
                                 kUdp);
  aChecker.CheckDistinctEndpoint("upstream_request_endpoint", aSettings.mUpstreamRequestEndpoint,
                                 kTcp);
  const std::string& path = aSettings.mUpstreamHealthPath;
  aChecker.Require(
    path.empty() || (path.front() == '/' && std::all_of(path.begin(), path.end(), IsPathCharacter)),
    "upstream_health_path", Quoted(path), "a path that starts with '/'");
  const auto local = aChecker.CheckAddress("local_address", aSettings.mLocalAddress);
  const auto upstream = Endpoint::Parse(aSettings.mUpstreamDatagramEndpoint);
  aChecker.Require(!local || !upstream || local->IsV4() == upstream.value().IsV4(), "local_address",
                   Quoted(aSettings.mLocalAddress),
                   "the address family of upstream_datagram_endpoint");
}

} // namespace

Result<void> CheckSettings(const BalancerSettings& aSettings, std::string_view aSource)
{
  SettingsChecker checks(aSource);
  CheckMember(checks, aSettings);
  checks.CheckDistinctEndpoint("datagram_endpoint", aSettings.mDatagramEndpoint, kUdp);
  checks.CheckDistinctEndpoint("request_endpoint", aSettings.mRequestEndpoint, kTcp);
  if (!aSettings.mListenAddress.empty()) {
    checks.CheckAddress("listen_address", aSettings.mListenAddress);
  }
  return checks.Finish();
}

Result<void> CheckSettings(const AgentSettings& aSettings, std::string_view aSource)
{
  SettingsChecker checks(aSource);
  CheckMember(checks, aSettings);
  checks.CheckName("service", aSettings.mService);
  checks.CheckDistinctEndpoint("datagram_endpoint", aSettings.mDatagramEndpoint, kUdp);
  checks.CheckDistinctEndpoint("request_endpoint", aSettings.mRequestEndpoint, kTcp);
  CheckUpstream(checks, aSettings);
  return checks.Finish();
}

Result<void> CheckSettings(const ControlSettings& aSettings, std::string_view aSource)
{
  SettingsChecker checks(aSource);
  CheckCommon(checks, aSettings);
  checks.CheckDistinctEndpoint("endpoint", aSettings.mEndpoint, kTcp);
  checks.Require(!aSettings.mDataFolder.empty(), "data_folder", Quoted(""), "the path of a folder");
  CheckRaftGroup(checks, aSettings);
  CheckTimes(checks, aSettings);
  return checks.Finish();
}

} // namespace dandelionslip
