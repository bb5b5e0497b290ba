// Weighted rendezvous hashing: orders the members for a bucket, in integer arithmetic so that all
// nodes get the same order.
#pragma once

#include "dandelionslip/Route/AssignmentStrategy.h"

#include <cstdint>
#include <span>
#include <tuple>
#include <vector>

namespace dandelionslip {

/// Position of a member in a bucket's order. Lower costs come first. Equal costs are ordered by
/// member index, so the order is total.
struct RendezvousPosition
{
  std::uint64_t mCost = 0;
  MemberIndex mMember = kNoMember;

  bool operator==(const RendezvousPosition&) const = default;
  auto operator<=>(const RendezvousPosition& aOther) const
  {
    return std::tie(mCost, mMember) <=> std::tie(aOther.mCost, aOther.mMember);
  }
};

class RendezvousOrder
{
public:
  explicit RendezvousOrder(std::span<const WeightedMember> aMembers);

  /// The position with the cost -log2(hash / 2^64) / weight in fixed point, where the hash is that
  /// of bucket and member name. With these costs a member comes first for a share of the buckets
  /// that is proportional to its weight. The member's weight must be positive.
  RendezvousPosition PositionOf(std::uint32_t aBucket, MemberIndex aMember) const;

  /// The first member after aPrevious in the bucket's order for which aAllowed returns true. The
  /// result's member is kNoMember when there is none. Members of weight 0 are not in the order.
  template <typename F>
  RendezvousPosition NextAfter(std::uint32_t aBucket, RendezvousPosition aPrevious,
                               F&& aAllowed) const
  {
    RendezvousPosition best{UINT64_MAX, kNoMember};
    for (std::size_t i = 0; i < mWeights.size(); ++i) {
      const auto member = static_cast<MemberIndex>(i);
      if (mWeights[i] == 0 || !aAllowed(member)) {
        continue;
      }
      const RendezvousPosition position = PositionOf(aBucket, member);
      if (aPrevious < position && position < best) {
        best = position;
      }
    }
    return best;
  }

  /// A position before that of every member.
  static RendezvousPosition BeforeFirst() { return {0, 0}; }

private:
  std::vector<std::uint64_t> mHashes;
  std::vector<std::uint32_t> mWeights;
};

} // namespace dandelionslip
