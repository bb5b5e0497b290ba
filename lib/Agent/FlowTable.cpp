// Hash table with linear probing and backward-shift deletion.
#include "dandelionslip/Agent/FlowTable.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::size_t kSmallestTable = 64;

// Flow hashes are well mixed, but the low bits choose the bucket, so they are similar for the flows
// of one agent. The high bits do not depend on the bucket.
std::size_t HomeSlot(FlowId aFlow, std::size_t aSlots)
{
  return static_cast<std::size_t>(aFlow >> 32U ^ aFlow >> 16U) & (aSlots - 1);
}

} // namespace

FlowTable::FlowTable(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

std::size_t FlowTable::IndexOf(FlowId aFlow) const
{
  if (mSlots.empty()) {
    return 0;
  }
  std::size_t index = HomeSlot(aFlow, mSlots.size());
  while (mSlots[index].mUsed && mSlots[index].mEntry.mFlow != aFlow) {
    index = (index + 1) & (mSlots.size() - 1);
  }
  return mSlots[index].mUsed ? index : mSlots.size();
}

FlowEntry* FlowTable::Find(FlowId aFlow)
{
  const std::size_t index = IndexOf(aFlow);
  return index < mSlots.size() ? &mSlots[index].mEntry : nullptr;
}

const FlowEntry* FlowTable::Find(FlowId aFlow) const
{
  const std::size_t index = IndexOf(aFlow);
  return index < mSlots.size() ? &mSlots[index].mEntry : nullptr;
}

void FlowTable::Place(const FlowEntry& aEntry)
{
  std::size_t index = HomeSlot(aEntry.mFlow, mSlots.size());
  while (mSlots[index].mUsed) {
    index = (index + 1) & (mSlots.size() - 1);
  }
  mSlots[index] = Slot{aEntry, true};
}

void FlowTable::Grow()
{
  std::vector<Slot> old = std::move(mSlots);
  mSlots = std::vector<Slot>(std::max(kSmallestTable, old.size() * 2));
  for (const Slot& slot : old) {
    if (slot.mUsed) {
      Place(slot.mEntry);
    }
  }
}

FlowEntry* FlowTable::Insert(const FlowEntry& aEntry)
{
  if (mSize >= mCapacity) {
    return nullptr;
  }
  // At most three quarters full, which keeps probe sequences short.
  if ((mSize + 1) * 4 > mSlots.size() * 3) {
    Grow();
  }
  Place(aEntry);
  ++mSize;
  return Find(aEntry.mFlow);
}

bool FlowTable::Erase(FlowId aFlow)
{
  std::size_t hole = IndexOf(aFlow);
  if (hole >= mSlots.size()) {
    return false;
  }
  const std::size_t mask = mSlots.size() - 1;
  for (std::size_t next = (hole + 1) & mask; mSlots[next].mUsed; next = (next + 1) & mask) {
    const std::size_t home = HomeSlot(mSlots[next].mEntry.mFlow, mSlots.size());
    if (((next - home) & mask) >= ((next - hole) & mask)) {
      mSlots[hole] = mSlots[next];
      hole = next;
    }
  }
  mSlots[hole] = Slot{};
  --mSize;
  return true;
}

std::vector<FlowId> FlowTable::FindIdle(TimePoint aNow, Milliseconds aIdleTimeout,
                                        Milliseconds aOpeningTimeout, std::size_t aMaxSlots)
{
  std::vector<FlowId> idle;
  for (std::size_t i = 0; i < std::min(aMaxSlots, mSlots.size()); ++i) {
    mLastExamined = (mLastExamined + 1) & (mSlots.size() - 1);
    const Slot& slot = mSlots[mLastExamined];
    const Milliseconds timeout = slot.mEntry.mEstablished ? aIdleTimeout : aOpeningTimeout;
    if (slot.mUsed && aNow - slot.mEntry.mLastActive > timeout) {
      idle.push_back(slot.mEntry.mFlow);
    }
  }
  return idle;
}

} // namespace dandelionslip
