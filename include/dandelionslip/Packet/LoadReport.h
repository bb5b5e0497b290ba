// What an agent tells balancers about its upstream.
#pragma once

#include "dandelionslip/Support/Json.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>

namespace dandelionslip {

/// State of one upstream, sent to every balancer several times a second.
struct LoadReport
{
  std::string mService;
  std::string mDataCentre;
  bool mAccepts = false; ///< Whether new flows may be sent.
  bool mCold = false;
  bool mGone = false;          ///< The upstream has ended for good and this agent ends too.
  bool mStarting = false;      ///< The agent has just started and awaits its upstream's heartbeat.
  std::uint32_t mFlows = 0;    ///< Open flows.
  std::uint32_t mRequests = 0; ///< Requests delivered and not answered yet.
  std::uint32_t mSlots = 1;    ///< Requests that the upstream runs at once.
  /// Requests a second that one busy slot completes, in thousandths; 0 while unknown.
  std::uint32_t mMilliRequestsPerSlot = 0;
  std::uint32_t mOpensAllowed = 0;   ///< While cold: new flows that it takes at once.
  std::uint32_t mOpensPerSecond = 0; ///< While cold: new flows that it takes over time.
  Milliseconds mColdLeft{0};         ///< How much longer the upstream stays cold.
  /// FlowHomes::Digest() of the homes with which all flows of the upstream are registered; 0 while
  /// that is not certain.
  std::uint64_t mRegisteredWith = 0;

  bool operator==(const LoadReport&) const = default;

  /// A CBOR array of the fields in order, about 40 bytes: entry VMs have links of a few Mbit/s.
  Bytes Encode() const;
  /// InvalidInput: not CBOR, or another number or type of fields.
  static Result<LoadReport> Decode(std::span<const std::uint8_t> aBytes);
};

} // namespace dandelionslip
