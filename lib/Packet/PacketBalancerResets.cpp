// Resets that a balancer sends, and the log lines that show what decided them.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

// Callers send the first copy of an opening packet after 200 ms. Somewhat less, because the packet
// may have been delayed on its way.
constexpr Milliseconds kFirstCopyAfter{150};

// The directory agents' answers to a query before a refusal are awaited for this long.
constexpr Milliseconds kRefusalTimeout{300};

// A directory agent that has not answered after this time is queried again: a query and its answer
// take a few milliseconds.
constexpr Milliseconds kRefusalRepeatAfter{100};

// OnTick is called every second. After a longer interval the process has stood still, and packets
// that arrived meanwhile are read for some time.
constexpr Milliseconds kMaxTickInterval{2'000};
constexpr Milliseconds kCatchUpTime{200};

std::int64_t AgeMs(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aThen).count();
}

} // namespace

void PacketBalancer::RefuseOpening(const PacketHeader& aPacketHeader,
                                   std::span<const FlowDenial> aReturnedBy, Counter& aCounter,
                                   PacketOutput& aOutput, TimePoint aArrivedAt, TimePoint aNow)
{
  PendingRefusal refusal{aPacketHeader,
                         {aReturnedBy.begin(), aReturnedBy.end()},
                         &aCounter,
                         aArrivedAt,
                         aNow,
                         mNextNumber++,
                         {}};
  const bool mayBeOpen = aPacketHeader.mRetransmission > 0 || aNow - aArrivedAt > kFirstCopyAfter ||
                         MayHaveStoodStill(aNow);
  if (!mayBeOpen) {
    ResetOpening(refusal, aOutput, aNow);
    return;
  }
  refusal.mUnanswered = mDirectoryAgents.AgentsFor(aPacketHeader.mFlow);
  if (refusal.mUnanswered.empty()) {
    DropRefusal(refusal, RefusalDropReason::NoDirectory, aNow);
    return;
  }
  if (mPendingRefusals.size() >= mSettings.mMaxPendingRefusals &&
      !mPendingRefusals.contains(aPacketHeader.mFlow)) {
    DropRefusal(refusal, RefusalDropReason::Full, aNow);
    return;
  }
  QueryForRefusal(refusal, aOutput, aNow);
  mPendingRefusals[aPacketHeader.mFlow] = std::move(refusal);
}

void PacketBalancer::QueryForRefusal(PendingRefusal& aRefusal, PacketOutput& aOutput,
                                     TimePoint aNow)
{
  const PacketHeader& header = aRefusal.mPacketHeader;
  const auto message =
    FlowMessage{{}, {header.mFlow}, mDirectoryAgents.Digest(), aRefusal.mNumber, header.mSequence}
      .Encode();
  for (const Endpoint& agent : aRefusal.mUnanswered) {
    if (!mSearchBudget.TryTake(aNow)) {
      return;
    }
    aOutput.SendToNode(agent, {NodeMessageType::Query, ReturnReason::None}, message);
  }
  aRefusal.mAllQueried = true;
}

// Whether a packet that is read now may have arrived long ago.
bool PacketBalancer::MayHaveStoodStill(TimePoint aNow) const
{
  return mTickedAt && (aNow - *mTickedAt > kMaxTickInterval || aNow < mCaughtUpAt);
}

void PacketBalancer::NoteTick(TimePoint aNow)
{
  if (mTickedAt && aNow - *mTickedAt > kMaxTickInterval) {
    mCaughtUpAt = aNow + kCatchUpTime;
  }
  mTickedAt = aNow;
}

bool PacketBalancer::AnswerPendingRefusal(const FlowKey& aKey, std::uint32_t aNumber,
                                          const Endpoint& aFrom, NodeMessageType aType,
                                          PacketOutput& aOutput, TimePoint aNow)
{
  const auto found = mPendingRefusals.find(aKey);
  if (found == mPendingRefusals.end() || found->second.mNumber != aNumber) {
    return false;
  }
  PendingRefusal& refusal = found->second;
  if (aType == NodeMessageType::HolderFound) {
    mPendingRefusals.erase(found);
    return true;
  }
  // Other answers come from agents that do not know what was registered before they started.
  if (aType != NodeMessageType::NotRegistered) {
    refusal.mUnsure = true;
    return true;
  }
  std::erase(refusal.mUnanswered, aFrom);
  if (refusal.mUnanswered.empty()) {
    ResetOpening(refusal, aOutput, aNow);
    mPendingRefusals.erase(found);
  }
  return true;
}

// Without the answers the flow may be open, and its caller is left to its own timeout.
void PacketBalancer::RepeatOrDropRefusals(PacketOutput& aOutput, TimePoint aNow)
{
  for (auto item = mPendingRefusals.begin(); item != mPendingRefusals.end();) {
    PendingRefusal& refusal = item->second;
    const auto age = aNow - refusal.mQueriedAt;
    if (age > kRefusalTimeout) {
      DropRefusal(refusal,
                  refusal.mUnsure       ? RefusalDropReason::Unsure
                  : refusal.mAllQueried ? RefusalDropReason::NoAnswer
                                        : RefusalDropReason::NoBudget,
                  aNow);
      item = mPendingRefusals.erase(item);
      continue;
    }
    // An agent that is unsure stays so.
    if (age >= kRefusalRepeatAfter && !refusal.mUnsure && !refusal.mRepeated) {
      refusal.mRepeated = true;
      QueryForRefusal(refusal, aOutput, aNow);
    }
    ++item;
  }
}

void PacketBalancer::DropRefusal(const PendingRefusal& aRefusal, RefusalDropReason aReason,
                                 TimePoint aNow)
{
  mRefusalsDropped[static_cast<std::size_t>(aReason)]->Add();
  LogEvent(LogLevel::Info, "refusal_dropped")
    .With("flow", ToString(aRefusal.mPacketHeader.mFlow))
    .With("copy", aRefusal.mPacketHeader.mRetransmission)
    .With("reason", ReasonOf(aRefusal))
    .With("dropped_for", ToText(aReason))
    .With("waited_ms", AgeMs(aRefusal.mArrivedAt, aNow))
    .With("unanswered", aRefusal.mUnanswered.size())
    .With("pending", mPendingRefusals.size())
    .With("directory", mDirectoryAgents.Digest())
    .With("view", mViewRevision);
}

std::string_view PacketBalancer::ToText(RefusalDropReason aReason)
{
  constexpr std::array<std::string_view, kRefusalDropReasons> kNames{
    "no_answer", "unsure", "no_budget", "full", "no_directory"};
  return kNames[static_cast<std::size_t>(aReason)];
}

std::string_view PacketBalancer::ReasonOf(const PendingRefusal& aRefusal) const
{
  return aRefusal.mCounter == &mNoRoute       ? "no_route"
         : aRefusal.mCounter == &mWaitExpired ? "waited_too_long"
         : aRefusal.mCounter == &mNoRoom      ? "no_room"
                                              : "no_upstream";
}

void PacketBalancer::ResetOpening(const PendingRefusal& aRefusal, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  aRefusal.mCounter->Add();
  const PacketHeader& header = aRefusal.mPacketHeader;
  const RouteEntry* route = FindRoute(header.mFlow);
  std::size_t candidates = 0;
  std::size_t silent = 0;
  std::size_t declining = 0;
  std::size_t cold = 0;
  for (const auto& [endpoint, agent] : mAgents) {
    if (route != nullptr && route->HasTarget(agent.mService)) {
      ++candidates;
      const bool reports =
        agent.mReportedAt && aNow - *agent.mReportedAt <= mSettings.mReportLifetime;
      silent += reports ? 0 : 1;
      declining += reports && !agent.mReport.mAccepts ? 1 : 0;
      cold += reports && agent.mReport.mAccepts && agent.mReport.mCold ? 1 : 0;
    }
  }
  LogEvent(LogLevel::Info, "flow_refused")
    .With("flow", ToString(header.mFlow))
    .With("copy", header.mRetransmission)
    .With("reason", ReasonOf(aRefusal))
    .With("waited_ms", AgeMs(aRefusal.mArrivedAt, aNow))
    .With("returned_by", dandelionslip::ToText(aRefusal.mReturnedBy, aNow))
    .With("candidates", candidates)
    .With("silent", silent)
    .With("declining", declining)
    .With("cold", cold)
    .With("routes", mRouteVersion)
    .With("view", mViewRevision)
    .With("view_age_ms", AgeMs(mViewAppliedAt, aNow))
    .With("agents", mAgents.size())
    .With("waiting", mWaiting.Size());
  aOutput.SendToCaller(header.mFlow, mCodec.EncodeReset(header.mFlow, header.mAcknowledged));
}

void PacketBalancer::ResetFlow(const PacketHeader& aPacketHeader, const Flow& aFlow,
                               PacketOutput& aOutput, TimePoint aNow)
{
  mNotFound.Add();
  const Search& search = *aFlow.mSearch;
  std::size_t covered = 0;
  std::int64_t coveredAgeMs = 0;
  for (const auto& [endpoint, agent] : mAgents) {
    if (!IsDeniedBy(search.mRuledOut, endpoint)) {
      ++covered;
      coveredAgeMs =
        std::max(coveredAgeMs, agent.mReportedAt ? AgeMs(*agent.mReportedAt, aNow) : -1);
    }
  }
  Counter& counter = covered > 0 ? mResetByDirectory : mResetByDenials;
  counter.Add();
  LogEvent(LogLevel::Info, "flow_reset", LogPriority::High)
    .With("flow", ToString(aPacketHeader.mFlow))
    .With("reason", "not_found")
    .With("known_ms", AgeMs(aFlow.mFirstUsedAt, aNow))
    .With("search_ms", AgeMs(search.mStartedAt, aNow))
    .With("ruled_out", dandelionslip::ToText(search.mRuledOut, aNow))
    .With("covered", covered)
    .With("covered_report_age_ms", coveredAgeMs)
    .With("directory", mDirectoryAgents.Digest())
    .With("agents", mAgents.size())
    .With("routes", mRouteVersion)
    .With("view", mViewRevision)
    .With("view_age_ms", AgeMs(mViewAppliedAt, aNow));
  aOutput.SendToCaller(aPacketHeader.mFlow,
                       mCodec.EncodeReset(aPacketHeader.mFlow, aPacketHeader.mAcknowledged));
}

} // namespace dandelionslip
