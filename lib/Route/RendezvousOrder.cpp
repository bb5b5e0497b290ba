// Computes rendezvous costs with a fixed-point logarithm.
#include "RendezvousOrder.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>
#include <array>
#include <bit>

namespace dandelionslip {

namespace {

constexpr unsigned kFractionBits = 32;
constexpr unsigned kIndexBits = 10;
constexpr std::size_t kLogTableIntervals = std::size_t{1} << kIndexBits;

// log2 of a value in [1, 2), which is given with 31 fraction bits. Computed by repeated squaring:
// each squaring yields one bit of the result.
constexpr std::uint64_t FractionOfLog2(std::uint64_t aValue)
{
  std::uint64_t result = 0;
  for (unsigned bit = 0; bit < kFractionBits; ++bit) {
    aValue = aValue * aValue >> 31U;
    const std::uint64_t carry = aValue >> 32U;
    result = result << 1U | carry;
    aValue >>= carry;
  }
  return result;
}

using LogTable = std::array<std::uint64_t, kLogTableIntervals + 1>;

LogTable MakeLogTable()
{
  LogTable table{};
  for (std::size_t i = 0; i < kLogTableIntervals; ++i) {
    table[i] = FractionOfLog2((std::uint64_t{1} << 31U) + (i << (31U - kIndexBits)));
  }
  table[kLogTableIntervals] = std::uint64_t{1} << kFractionBits;
  return table;
}

// -log2(aHash / 2^64), that is 64 - log2(aHash), with 32 fraction bits; aHash > 0. Interpolates
// linearly between table entries. The error of less than 2^-21 does not change the members' shares,
// because quotas determine them.
std::uint64_t NegativeLog2(std::uint64_t aHash)
{
  static const LogTable kTable = MakeLogTable();
  const auto zeros = static_cast<unsigned>(std::countl_zero(aHash));
  const std::uint64_t mantissa = aHash << zeros << 1U;
  const std::size_t index = mantissa >> (64U - kIndexBits);
  const std::uint64_t rest = mantissa << kIndexBits >> 32U;
  const std::uint64_t low = kTable[index];
  const std::uint64_t fraction = low + ((kTable[index + 1] - low) * rest >> 32U);
  return (std::uint64_t{zeros + 1} << kFractionBits) - fraction;
}

} // namespace

RendezvousOrder::RendezvousOrder(std::span<const WeightedMember> aMembers)
{
  for (const WeightedMember& member : aMembers) {
    mHashes.push_back(Hash64(member.mMember));
    mWeights.push_back(member.mWeight);
  }
}

RendezvousPosition RendezvousOrder::PositionOf(std::uint32_t aBucket, MemberIndex aMember) const
{
  const std::uint64_t hash =
    std::max<std::uint64_t>(1, CombineHash(mHashes[aMember], std::uint64_t{aBucket}));
  // The logarithm has at most 39 bits, so the shift does not overflow. Weights have at most 20
  // bits, so scaling by 2^24 before the division keeps all bits of the logarithm and at least 4
  // more.
  constexpr unsigned kScaleBits = 24;
  return {(NegativeLog2(hash) << kScaleBits) / mWeights[aMember], aMember};
}

} // namespace dandelionslip
