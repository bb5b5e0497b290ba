// Strategies that assign buckets to weighted members.
#pragma once

#include "dandelionslip/Model/View.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Index of a member in the member list of a ServiceTable or in the list passed to an
/// AssignmentStrategy.
using MemberIndex = std::uint16_t;

/// The index that means no member.
inline constexpr MemberIndex kNoMember = 0xffff;

/// Assigns each bucket to one member. Implementations are pure functions of their arguments.
class AssignmentStrategy
{
public:
  virtual ~AssignmentStrategy() = default;

  /// Name in benchmark reports.
  virtual std::string_view Name() const = 0;

  /// Returns the owner of each bucket; all are kNoMember when no member has a positive weight.
  /// Members have distinct names; aBuckets is a power of two.
  virtual std::vector<MemberIndex> Owners(std::span<const WeightedMember> aMembers,
                                          std::uint32_t aBuckets) const = 0;
};

/// Weighted rendezvous hashing with a quota for each member. Used in production.
std::unique_ptr<AssignmentStrategy> MakeRendezvousStrategy();

/// Maglev hashing: members take turns, with more turns for a higher weight. In its turn a member
/// takes the first free bucket in its own permutation of the buckets. Only a baseline for
/// benchmarks.
std::unique_ptr<AssignmentStrategy> MakeMaglevStrategy();

/// Consistent hashing on a ring, in which all members with a positive weight have equal shares.
/// Only a baseline for benchmarks.
std::unique_ptr<AssignmentStrategy> MakeRingStrategy();

} // namespace dandelionslip
