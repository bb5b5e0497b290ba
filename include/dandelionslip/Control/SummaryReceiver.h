// The leader's record of the summaries of one replica.
#pragma once

#include "dandelionslip/Control/LeaseTable.h"
#include "dandelionslip/Control/MemberSummary.h"

#include <map>
#include <set>
#include <string>

namespace dandelionslip {

/// Applies one replica's summaries to the lease table. Not thread-safe.
class SummaryReceiver
{
public:
  /// Renews the nodes that the summary covers. Those that no view up to aHeldRevision shows as live
  /// get no lease yet. If the digest does not match, only the nodes that the summary lists are
  /// renewed, and a whole summary is requested.
  SummaryAnswer HandleSummary(const MemberSummary& aSummary, LeaseTable& aLeases,
                              std::uint64_t aHeldRevision, TimePoint aNow);

private:
  struct KnownNode
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mDigest = 0;
  };

  std::set<std::string> ApplyListed(const MemberSummary& aSummary, LeaseTable& aLeases,
                                    TimePoint aNow, SummaryAnswer& aAnswer);
  std::uint64_t Digest() const;

  std::map<std::string, KnownNode> mNodes;
  std::uint64_t mSequence = 0;
};

} // namespace dandelionslip
