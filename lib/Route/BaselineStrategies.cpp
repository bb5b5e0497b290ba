// Maglev hashing and ring-based consistent hashing, baselines of the routing benchmark.
#include "dandelionslip/Route/AssignmentStrategy.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>
#include <map>

namespace dandelionslip {

namespace {

// Order in which a member visits all buckets. An odd step visits each bucket of a power-of-two
// table once.
struct Permutation
{
  std::uint32_t mNext = 0;
  std::uint32_t mStep = 1;
};

class PermutationStrategy : public AssignmentStrategy
{
public:
  std::string_view Name() const override { return "permutation"; }

  std::vector<MemberIndex> Owners(std::span<const WeightedMember> aMembers,
                                  std::uint32_t aBuckets) const override
  {
    std::vector<MemberIndex> owners(aBuckets, kNoMember);
    std::uint64_t largest = 0;
    std::vector<Permutation> permutations;
    for (const WeightedMember& member : aMembers) {
      largest = std::max<std::uint64_t>(largest, member.mWeight);
      const std::uint64_t hash = Hash64(member.mMember);
      permutations.push_back({static_cast<std::uint32_t>(hash) & (aBuckets - 1),
                              (static_cast<std::uint32_t>(hash >> 32U) | 1U) & (aBuckets - 1)});
    }
    if (largest > 0) {
      Fill(aMembers, permutations, largest, owners);
    }
    return owners;
  }

private:
  // In each round a member's credit grows by its weight. A member whose credit has reached the
  // largest weight spends that much for a bucket.
  static void Fill(std::span<const WeightedMember> aMembers,
                   std::vector<Permutation>& aPermutations, std::uint64_t aLargest,
                   std::vector<MemberIndex>& aOwners)
  {
    std::vector<std::uint64_t> credit(aMembers.size(), 0);
    for (std::size_t filled = 0; filled < aOwners.size();) {
      for (std::size_t i = 0; i < aMembers.size() && filled < aOwners.size(); ++i) {
        credit[i] += aMembers[i].mWeight;
        if (credit[i] < aLargest) {
          continue;
        }
        credit[i] -= aLargest;
        TakeNextFree(aPermutations[i], aOwners, static_cast<MemberIndex>(i));
        ++filled;
      }
    }
  }

  static void TakeNextFree(Permutation& aPermutation, std::vector<MemberIndex>& aOwners,
                           MemberIndex aMember)
  {
    const auto mask = static_cast<std::uint32_t>(aOwners.size() - 1);
    while (aOwners[aPermutation.mNext] != kNoMember) {
      aPermutation.mNext = (aPermutation.mNext + aPermutation.mStep) & mask;
    }
    aOwners[aPermutation.mNext] = aMember;
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

std::unique_ptr<AssignmentStrategy> MakePermutationStrategy()
{
  return std::make_unique<PermutationStrategy>();
}

std::unique_ptr<AssignmentStrategy> MakeRingStrategy()
{
  return std::make_unique<RingStrategy>();
}

} // namespace dandelionslip
