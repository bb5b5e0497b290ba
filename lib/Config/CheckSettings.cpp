// Rules of settings files that concern the text of a key or several keys.
#include "KeyChecks.h"

#include "dandelionslip/Config/LoadSettings.h"

#include <algorithm>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::string_view kTcp = "tcp";
constexpr std::string_view kUdp = "udp";

std::string Indexed(std::string_view aKey, std::size_t aIndex)
{
  return std::string(aKey) + "[" + std::to_string(aIndex) + "]";
}

std::string Text(Milliseconds aValue)
{
  return std::to_string(aValue.count());
}

void CheckControlEndpoints(KeyChecks& aChecks, const std::vector<std::string>& aEndpoints)
{
  std::set<Endpoint> seen;
  for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
    const std::string key = Indexed("control_endpoints", i);
    if (const auto endpoint = aChecks.RemoteEndpoint(key, aEndpoints[i])) {
      aChecks.Require(seen.insert(*endpoint).second, key, Quoted(aEndpoints[i]),
                      "distinct endpoints");
    }
  }
}

void CheckCommon(KeyChecks& aChecks, const CommonSettings& aSettings)
{
  aChecks.Name("node", aSettings.mNode);
  aChecks.Name("data_centre", aSettings.mDataCentre);
  if (!aSettings.mMetricsEndpoint.empty()) {
    aChecks.LocalEndpoint("metrics_endpoint", aSettings.mMetricsEndpoint, kTcp);
  }
  CheckControlEndpoints(aChecks, aSettings.mControlEndpoints);
}

// A balancer or agent cannot work without control.
void CheckNode(KeyChecks& aChecks, const CommonSettings& aSettings)
{
  CheckCommon(aChecks, aSettings);
  aChecks.Require(!aSettings.mControlEndpoints.empty(), "control_endpoints", "none",
                  "at least one address:port of a control replica");
}

void CheckPeers(KeyChecks& aChecks, const ControlSettings& aSettings)
{
  std::set<std::string> names{aSettings.mNode};
  std::set<Endpoint> endpoints;
  if (const auto own = Endpoint::Parse(aSettings.mEndpoint)) {
    endpoints.insert(own.value());
  }
  for (std::size_t i = 0; i < aSettings.mPeers.size(); ++i) {
    const auto& [name, text] = aSettings.mPeers[i];
    const std::string key = Indexed("peers", i);
    aChecks.Name(key + ".name", name);
    aChecks.Require(names.insert(name).second, key + ".name", Quoted(name),
                    "a name other than this node's and the other peers'");
    if (const auto endpoint = aChecks.RemoteEndpoint(key + ".endpoint", text)) {
      aChecks.Require(endpoints.insert(*endpoint).second, key + ".endpoint", Quoted(text),
                      "an endpoint other than this node's and the other peers'");
    }
  }
  for (std::size_t i = 0; i < aSettings.mInitialReplicas.size(); ++i) {
    aChecks.RemoteEndpoint(Indexed("founders", i), aSettings.mInitialReplicas[i]);
  }
  const bool knowsGroup = !aSettings.mPeers.empty() || !aSettings.mInitialReplicas.empty();
  aChecks.Require(!aSettings.mJoin || knowsGroup, "join", "true without peers",
                  "at least one peer to join");
}

// An election must not start because of one or two delayed heartbeats, and replicas that time out
// together split the votes.
void CheckTimes(KeyChecks& aChecks, const ControlSettings& aSettings)
{
  constexpr int kHeartbeatsPerElectionTimeout = 3;
  constexpr int kAnnouncementsPerLease = 2;
  const auto shortest = kHeartbeatsPerElectionTimeout * aSettings.mHeartbeat;
  aChecks.Require(aSettings.mElectionTimeoutMin > shortest, "election_timeout_min_ms",
                  Text(aSettings.mElectionTimeoutMin),
                  "more than 3 times heartbeat_ms, that is above " + Text(shortest));
  aChecks.Require(aSettings.mElectionTimeoutMax > aSettings.mElectionTimeoutMin,
                  "election_timeout_max_ms", Text(aSettings.mElectionTimeoutMax),
                  "more than election_timeout_min_ms, that is above " +
                    Text(aSettings.mElectionTimeoutMin));
  const auto shortestLease = kAnnouncementsPerLease * aSettings.mAnnounceInterval;
  aChecks.Require(aSettings.mLease >= shortestLease, "lease_ms", Text(aSettings.mLease),
                  "at least 2 times announce_interval_ms, that is " + Text(shortestLease));
}

bool IsPathCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

void CheckUpstream(KeyChecks& aChecks, const AgentSettings& aSettings)
{
  aChecks.LocalEndpoint("upstream_datagram_endpoint", aSettings.mUpstreamDatagramEndpoint, kUdp);
  aChecks.LocalEndpoint("upstream_request_endpoint", aSettings.mUpstreamRequestEndpoint, kTcp);
  const std::string& path = aSettings.mUpstreamHealthPath;
  aChecks.Require(path.empty() ||
                    (path.front() == '/' && std::all_of(path.begin(), path.end(), IsPathCharacter)),
                  "upstream_health_path", Quoted(path), "a path that starts with '/'");
  const auto local = aChecks.Address("local_address", aSettings.mLocalAddress);
  const auto upstream = Endpoint::Parse(aSettings.mUpstreamDatagramEndpoint);
  aChecks.Require(!local || !upstream || local->IsV4() == upstream.value().IsV4(), "local_address",
                  Quoted(aSettings.mLocalAddress),
                  "the address family of upstream_datagram_endpoint");
}

} // namespace

Result<void> CheckSettings(const BalancerSettings& aSettings, std::string_view aSource)
{
  KeyChecks checks(aSource);
  CheckNode(checks, aSettings);
  checks.LocalEndpoint("datagram_endpoint", aSettings.mDatagramEndpoint, kUdp);
  checks.LocalEndpoint("request_endpoint", aSettings.mRequestEndpoint, kTcp);
  if (!aSettings.mListenAddress.empty()) {
    checks.Address("listen_address", aSettings.mListenAddress);
  }
  return checks.Finish();
}

Result<void> CheckSettings(const AgentSettings& aSettings, std::string_view aSource)
{
  KeyChecks checks(aSource);
  CheckNode(checks, aSettings);
  checks.Name("service", aSettings.mService);
  checks.LocalEndpoint("datagram_endpoint", aSettings.mDatagramEndpoint, kUdp);
  checks.LocalEndpoint("request_endpoint", aSettings.mRequestEndpoint, kTcp);
  CheckUpstream(checks, aSettings);
  return checks.Finish();
}

Result<void> CheckSettings(const ControlSettings& aSettings, std::string_view aSource)
{
  KeyChecks checks(aSource);
  CheckCommon(checks, aSettings);
  checks.LocalEndpoint("endpoint", aSettings.mEndpoint, kTcp);
  checks.Require(!aSettings.mDataFolder.empty(), "data_folder", Quoted(""), "the path of a folder");
  CheckPeers(checks, aSettings);
  CheckTimes(checks, aSettings);
  return checks.Finish();
}

} // namespace dandelionslip
