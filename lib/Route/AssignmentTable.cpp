// Computes quotas, the owners of buckets by stable matching, and alternates.
#include "dandelionslip/Route/AssignmentTable.h"

#include "RendezvousOrder.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace dandelionslip {

namespace {

std::uint64_t SumOfWeights(std::span<const WeightedMember> aMembers)
{
  return std::accumulate(
    aMembers.begin(), aMembers.end(), std::uint64_t{0},
    [](std::uint64_t aSum, const WeightedMember& aMember) { return aSum + aMember.mWeight; });
}

// A bucket assigned to a member, ordered by its cost for that member.
struct AssignedBucket
{
  RendezvousPosition mPosition;
  std::uint32_t mBucket = 0;

  bool operator==(const AssignedBucket&) const = default;
  auto operator<=>(const AssignedBucket& aOther) const
  {
    return std::tie(mPosition, mBucket) <=> std::tie(aOther.mPosition, aOther.mBucket);
  }
};

// Assigns buckets to members with deferred acceptance (Gale-Shapley stable matching). Each bucket
// proposes to members in its rendezvous order, and a member over its quota rejects the bucket with
// the highest cost. The result does not depend on the order of proposals, and a small change of the
// quotas moves few buckets.
class BucketMatching
{
public:
  BucketMatching(std::span<const WeightedMember> aMembers, std::uint32_t aBuckets)
    : mOrder(aMembers)
    , mQuotas(BucketQuotas(aMembers, aBuckets))
    , mAssigned(aMembers.size())
    , mOwners(aBuckets, kNoMember)
  {
  }

  std::vector<MemberIndex> Run()
  {
    for (std::uint32_t bucket = 0; bucket < mOwners.size(); ++bucket) {
      Assign(bucket);
    }
    return std::move(mOwners);
  }

private:
  // Assigns the bucket, then the bucket that this displaces, until none is displaced.
  void Assign(std::uint32_t aBucket)
  {
    std::uint32_t bucket = aBucket;
    // Position of the member that rejected the bucket last.
    RendezvousPosition rejection = RendezvousOrder::BeforeFirst();
    for (;;) {
      const RendezvousPosition next = mOrder.NextAfter(
        bucket, rejection, [&](MemberIndex aMember) { return mQuotas[aMember] > 0; });
      if (next.mMember == kNoMember) {
        return;
      }
      auto& assigned = mAssigned[next.mMember];
      assigned.push({next, bucket});
      mOwners[bucket] = next.mMember;
      if (assigned.size() <= mQuotas[next.mMember]) {
        return;
      }
      rejection = assigned.top().mPosition;
      bucket = assigned.top().mBucket;
      mOwners[bucket] = kNoMember;
      assigned.pop();
    }
  }

  RendezvousOrder mOrder;
  std::vector<std::uint32_t> mQuotas;
  std::vector<std::priority_queue<AssignedBucket>> mAssigned; // By member, highest cost on top.
  std::vector<MemberIndex> mOwners;
};

class RendezvousStrategy : public AssignmentStrategy
{
public:
  std::string_view Name() const override { return "rendezvous"; }

  std::vector<MemberIndex> Owners(std::span<const WeightedMember> aMembers,
                                  std::uint32_t aBuckets) const override
  {
    if (SumOfWeights(aMembers) == 0) {
      return std::vector<MemberIndex>(aBuckets, kNoMember);
    }
    return BucketMatching(aMembers, aBuckets).Run();
  }
};

// Chooses the alternate of each bucket: of the eligible members other than the owner, the first in
// the bucket's rendezvous order that has not reached its quota of alternates. If all have reached
// it, the first.
std::vector<MemberIndex> Alternates(std::span<const WeightedMember> aMembers,
                                    const std::vector<MemberIndex>& aOwners,
                                    const std::vector<bool>& aEligible)
{
  // Members of weight 0 are not in the order, so members that are not eligible get weight 0.
  std::vector<WeightedMember> weights(aMembers.begin(), aMembers.end());
  for (std::size_t i = 0; i < weights.size() && i < aEligible.size(); ++i) {
    weights[i].mWeight = aEligible[i] ? weights[i].mWeight : 0;
  }
  const RendezvousOrder order(weights);
  std::vector<std::uint32_t> remaining =
    BucketQuotas(weights, static_cast<std::uint32_t>(aOwners.size()));
  std::vector<MemberIndex> alternates(aOwners.size(), kNoMember);
  for (std::uint32_t bucket = 0; bucket < aOwners.size(); ++bucket) {
    const MemberIndex owner = aOwners[bucket];
    const auto firstEligible = [&](bool aWithinQuota) {
      return order
        .NextAfter(bucket, RendezvousOrder::BeforeFirst(),
                   [&](MemberIndex aMember) {
                     return aMember != owner && (!aWithinQuota || remaining[aMember] > 0);
                   })
        .mMember;
    };
    const MemberIndex withinQuota = firstEligible(true);
    alternates[bucket] = withinQuota == kNoMember ? firstEligible(false) : withinQuota;
    if (withinQuota != kNoMember) {
      --remaining[withinQuota];
    }
  }
  return alternates;
}

} // namespace

std::vector<std::uint32_t> BucketQuotas(std::span<const WeightedMember> aMembers,
                                        std::uint32_t aBuckets)
{
  std::vector<std::uint32_t> quotas(aMembers.size(), 0);
  const std::uint64_t sum = SumOfWeights(aMembers);
  if (sum == 0) {
    return quotas;
  }
  std::vector<std::size_t> byRemainder(aMembers.size());
  std::iota(byRemainder.begin(), byRemainder.end(), std::size_t{0});
  std::uint32_t unassigned = aBuckets;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    quotas[i] = static_cast<std::uint32_t>(aMembers[i].mWeight * std::uint64_t{aBuckets} / sum);
    unassigned -= quotas[i];
  }
  std::stable_sort(byRemainder.begin(), byRemainder.end(),
                   [&](std::size_t aLeft, std::size_t aRight) {
                     return aMembers[aLeft].mWeight * std::uint64_t{aBuckets} % sum >
                            aMembers[aRight].mWeight * std::uint64_t{aBuckets} % sum;
                   });
  for (std::uint32_t i = 0; i < unassigned; ++i) {
    ++quotas[byRemainder[i]];
  }
  return quotas;
}

std::unique_ptr<AssignmentStrategy> MakeRendezvousStrategy()
{
  return std::make_unique<RendezvousStrategy>();
}

AssignmentTable::AssignmentTable(std::span<const WeightedMember> aMembers, std::uint32_t aBuckets,
                                 const std::vector<bool>& aAlternateEligible)
  : mOwners(RendezvousStrategy().Owners(aMembers, aBuckets))
  , mAlternates(Alternates(aMembers, mOwners, aAlternateEligible))
{
}

} // namespace dandelionslip
