// A balancer that an agent sends load reports to.
#pragma once

#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>

namespace dandelionslip {

/// Knows which report format the balancer's process reads. Not thread-safe.
class ReportRecipient
{
public:
  TimePoint mSeenAt; ///< When the balancer was last in a view or sent a packet.

  /// The balancer stated the newest format that it reads.
  void OnFormatStated(std::uint8_t aFormat) { mFormat = aFormat; }

  /// A view contains the balancer. A process that replaces another one at its endpoint may be of a
  /// release that rejects reports of the format that the other one stated. It states its own when
  /// it gets a report of format 1.
  void OnInView(std::uint64_t aIncarnation)
  {
    if (mIncarnation != aIncarnation) {
      mIncarnation = aIncarnation;
      mFormat = 1;
    }
  }

  bool ReadsDetails() const { return mFormat >= LoadReport::kFormatWithDetails; }

private:
  std::uint8_t mFormat = 1;
  std::uint64_t mIncarnation = 0; ///< In the last view that contained it; 0 if none did.
};

} // namespace dandelionslip
