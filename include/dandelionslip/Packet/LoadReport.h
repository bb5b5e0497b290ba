// Load of an upstream, as its agent reports it to balancers.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FailureDetector.h"
#include "dandelionslip/Support/Json.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// What load reports of format 2 add. Sent only to balancers that have stated that they understand
/// it, because decoders of format 1 reject it.
struct LoadDetails
{
  /// The upstream's flows carry one request each; see FlowLengthEstimator.
  bool mOneRequestPerFlow = false;
  /// New flows that may be sent before the next report without an offer. A report that is sent to a
  /// balancer contains that balancer's share.
  std::uint32_t mRoom = 0;
  std::uint32_t mBusyPermille = 0; ///< Requests and expected requests per slot, times 1,000.
  UpstreamVerdict mVerdict = UpstreamVerdict::Healthy;
  Milliseconds mVerdictAge{0};
  std::uint32_t mAdmittedPermille = 1'000; ///< FailureDetector::AdmittedShare(), times 1,000.
  std::int64_t mUpstreamStartedMs = 0;     ///< As in UpstreamHeartbeat; 0 if unknown.

  bool operator==(const LoadDetails&) const = default;
};

/// State and load of one upstream, sent to every balancer several times a second.
struct LoadReport
{
  /// Formats up to this one are understood; the first one that has mDetails.
  static constexpr std::uint8_t kFormatWithDetails = 2;
  /// Most agents in mUnseenHolders.
  static constexpr std::size_t kMaxUnseenHolders = 4;

  std::string mService;
  std::string mDataCentre;
  bool mAccepts = false; ///< Whether new flows may be sent.
  bool mCold = false;
  /// The upstream has exited and the agent stops, so that no flow is left.
  bool mFinished = false;
  bool mStarting = false;      ///< The agent has just started and has received no heartbeat yet.
  std::uint32_t mFlows = 0;    ///< Open flows.
  std::uint32_t mRequests = 0; ///< Requests delivered and not yet answered.
  std::uint32_t mSlots = 1;    ///< Requests that the upstream runs at once.
  /// Requests per second that one busy slot completes, times 1,000; 0 if unknown.
  std::uint32_t mMilliRequestsPerSlotSecond = 0;
  /// If cold: new flows that may be sent before the next report. A report that is sent to a
  /// balancer contains that balancer's share.
  std::uint32_t mOpeningsAllowed = 0;
  /// If cold: new flows per second from all balancers together.
  std::uint32_t mOpeningsPerSecond = 0;
  Milliseconds mColdLeft{0}; ///< How much longer the upstream stays cold.
  /// DirectoryAgents::Digest() of the view for which the directory agents have confirmed all flows
  /// that are open at the upstream when the report is sent; 0 if some are not confirmed.
  std::uint64_t mConfirmedAgentsDigest = 0;
  /// Agents that have registered flows with the reporting agent and are missing from its view, for
  /// example because control has restarted and does not reach them. IPv4 only.
  std::vector<Endpoint> mUnseenHolders{};
  std::optional<LoadDetails> mDetails{}; ///< Present in format 2.

  bool operator==(const LoadReport&) const = default;

  /// Encodes the fields, in order, as a CBOR array of about 40 bytes, 9 for each unseen holder and
  /// 25 for the details; balancers' VMs may have links of only a few Mbit/s.
  Bytes Encode() const;
  /// Fails with InvalidInput if aBytes is not CBOR or the number or type of the fields differs.
  static Result<LoadReport> Decode(std::span<const std::uint8_t> aBytes);
};

} // namespace dandelionslip
