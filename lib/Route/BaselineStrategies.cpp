// Maglev hashing and ring-based consistent hashing, baselines of the routing benchmark.
#include "dandelionslip/Route/AssignmentStrategy.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>
#include <map>

namespace dandelionslip {

namespace {

// Next bucket and step of a member in its permutation of the buckets. The step is odd, so the
// member visits each bucket of a power-of-two table once.
struct PermutationCursor
{
  std::uint32_t mNext = 0;
  std::uint32_t mStep = 1;
};

class MaglevStrategy : public AssignmentStrategy
{
public:
  std::string_view Name() const override { return "permutation"; }

  std::vector<MemberIndex> Owners(std::span<const WeightedMember> aMembers,
                                  std::uint32_t aBuckets) const override
  {
    std::vector<MemberIndex> owners(aBuckets, kNoMember);
    std::uint64_t largestWeight = 0;
    std::vector<PermutationCursor> cursors;
    for (const WeightedMember& member : aMembers) {
      largestWeight = std::max<std::uint64_t>(largestWeight, member.mWeight);
      const std::uint64_t hash = Hash64(member.mMember);
      cursors.push_back({static_cast<std::uint32_t>(hash) & (aBuckets - 1),
                         (static_cast<std::uint32_t>(hash >> 32U) | 1U) & (aBuckets - 1)});
    }
    if (largestWeight > 0) {
      Fill(aMembers, cursors, largestWeight, owners);
    }
    return owners;
  }

private:
  // In each round a member's credit grows by its weight. When the credit reaches the largest
  // weight, it is reduced by that weight and the member takes a bucket.
  static void Fill(std::span<const WeightedMember> aMembers,
                   std::vector<PermutationCursor>& aCursors, std::uint64_t aLargestWeight,
                   std::vector<MemberIndex>& aOwners)
  {
    std::vector<std::uint64_t> credit(aMembers.size(), 0);
    for (std::size_t filled = 0; filled < aOwners.size();) {
      for (std::size_t i = 0; i < aMembers.size() && filled < aOwners.size(); ++i) {
        credit[i] += aMembers[i].mWeight;
        if (credit[i] < aLargestWeight) {
          continue;
        }
        credit[i] -= aLargestWeight;
        TakeNextFree(aCursors[i], aOwners, static_cast<MemberIndex>(i));
        ++filled;
      }
    }
  }

  static void TakeNextFree(PermutationCursor& aCursor, std::vector<MemberIndex>& aOwners,
                           MemberIndex aMember)
  {
    const auto mask = static_cast<std::uint32_t>(aOwners.size() - 1);
    while (aOwners[aCursor.mNext] != kNoMember) {
      aCursor.mNext = (aCursor.mNext + aCursor.mStep) & mask;
    }
    aOwners[aCursor.mNext] = aMember;
  }
};

class RingStrategy : public AssignmentStrategy
{
public:
  std::string_view Name() const override { return "ring"; }

  std::vector<MemberIndex> Owners(std::span<const WeightedMember> aMembers,
                                  std::uint32_t aBuckets) const override
  {
    constexpr std::uint64_t kPointsPerMember = 100;
    std::map<std::uint64_t, MemberIndex> ring;
    for (std::size_t i = 0; i < aMembers.size(); ++i) {
      for (std::uint64_t point = 0; point < kPointsPerMember && aMembers[i].mWeight > 0; ++point) {
        ring.emplace(CombineHash(Hash64(aMembers[i].mMember), point), static_cast<MemberIndex>(i));
      }
    }
    std::vector<MemberIndex> owners(aBuckets, kNoMember);
    for (std::uint32_t bucket = 0; bucket < aBuckets && !ring.empty(); ++bucket) {
      const auto point = ring.lower_bound(CombineHash(bucket, aBuckets));
      owners[bucket] = point == ring.end() ? ring.begin()->second : point->second;
    }
    return owners;
  }
};

} // namespace

std::unique_ptr<AssignmentStrategy> MakeMaglevStrategy()
{
  return std::make_unique<MaglevStrategy>();
}

std::unique_ptr<AssignmentStrategy> MakeRingStrategy()
{
  return std::make_unique<RingStrategy>();
}

} // namespace dandelionslip
