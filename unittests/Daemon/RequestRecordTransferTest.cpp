// Tests of request records that move with their buckets between agents.
#include "dandelionslip/Daemon/RequestRecordTransfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace dandelionslip {

namespace {

constexpr std::uint32_t kBuckets = 16;
constexpr std::int64_t kStartWallMs = 1'796'000'000'000;

class OpenSlots : public SlotAdmission
{
public:
  std::optional<Refusal> TryStart(TimePoint) override { return std::nullopt; }
  void Finished(TimePoint, RuntimeClock::duration, RunResult) override {}
};

// One agent's request core with its hand-off.
struct Agent
{
  Agent(const std::string& aName, std::int64_t& aWallMs)
    : mHome(
        SettingsFor(aName), mSlots, [](std::uint32_t) { return std::nullopt; }, mRegistry)
    , mRecords([&aWallMs] {
      return RequestTime{RuntimeClock::now(), aWallMs};
    })
  {
    mRecords.Attach(mHome);
    mHome.OnLease(true, {RuntimeClock::now(), aWallMs});
  }

  static AgentRequestSettings SettingsFor(const std::string& aName)
  {
    AgentRequestSettings settings;
    settings.mSelf = aName;
    settings.mIncarnation = 1;
    settings.mBuckets = kBuckets;
    return settings;
  }

  OpenSlots mSlots;
  MetricsRegistry mRegistry;
  AgentRequestCore mHome;
  RequestRecordTransfer mRecords;
};

class RequestRecordTransferTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestRecordTransferTest);
  CPPUNIT_TEST(ResendAtTheNewOwnerGetsTheFirstAnswer);
  CPPUNIT_TEST(OldOwnerDecidesNothingAfterTheExport);
  CPPUNIT_TEST(RepeatedExportGivesTheSameRecords);
  CPPUNIT_TEST(BucketsReturnToAnEarlierOwner);
  CPPUNIT_TEST(ResendWithoutRecordsNeverRuns);
  CPPUNIT_TEST(FirstAttemptRunsWithoutRecords);
  CPPUNIT_TEST(LowNumberAfterALossDoesNotBlockTheBucket);
  CPPUNIT_TEST_SUITE_END();

  std::int64_t mWallMs = kStartWallMs;
  Random mRandom{7};
  std::vector<std::uint32_t> mAll = std::vector<std::uint32_t>(kBuckets);
  std::uint64_t mHandle = 0;

  RequestTime Now() const { return {RuntimeClock::now(), mWallMs}; }

  AgentRequestActions Send(Agent& aAgent, const RequestId& aId, std::uint32_t aCallerAttempt)
  {
    ReceivedRequest request;
    request.mHandle = ++mHandle;
    request.mId = aId;
    request.mAttempt = MakeAttempt(aCallerAttempt, 0);
    request.mRemaining = Milliseconds(1'000);
    request.mBody = {1, 2, 3};
    return aAgent.mHome.OnRequest(request, Now());
  }

  template <typename Action>
  static const Action* Find(const AgentRequestActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  // Runs one request to its end at an agent and returns its id.
  RequestId RunAt(Agent& aAgent, const std::string& aAnswer)
  {
    const RequestId id = RequestId::Make(mWallMs, mRandom);
    const AgentRequestActions actions = Send(aAgent, id, 1);
    const auto* run = Find<RunAtUpstream>(actions);
    CPPUNIT_ASSERT(run != nullptr);
    ReceivedAnswer answer;
    answer.mAnswer.mBody.assign(aAnswer.begin(), aAnswer.end());
    answer.mEndOfStream = true;
    aAgent.mHome.OnUpstreamAnswer(run->mRun, answer, Now());
    return id;
  }

  void CheckResendIsAnswered(Agent& aAgent, const RequestId& aId, const std::string& aAnswer)
  {
    const AgentRequestActions actions = Send(aAgent, aId, 2);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(actions) == nullptr);
    const auto* answer = Find<ReplyToSender>(actions);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT(answer->mReply.mOutcome == RequestOutcome::Answered);
    CPPUNIT_ASSERT(answer->mReply.mAnswer.mBody == Bytes(aAnswer.begin(), aAnswer.end()));
  }

  void CheckResendIsUnknown(Agent& aAgent, const RequestId& aId)
  {
    const AgentRequestActions actions = Send(aAgent, aId, 2);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(actions) == nullptr);
    const auto* answer = Find<ReplyToSender>(actions);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT(answer->mReply.mOutcome == RequestOutcome::Unknown);
  }

public:
  void setUp() override { std::iota(mAll.begin(), mAll.end(), 0U); }

  // Guards against a second run when a caller resends after the bucket has moved.
  void ResendAtTheNewOwnerGetsTheFirstAnswer()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecords.StartAsFirstOwner(mAll);
    const RequestId id = RunAt(first, "price");
    second.mRecords.Import(mAll, first.mRecords.Export(mAll, "b"));
    CheckResendIsAnswered(second, id, "price");
    RunAt(second, "new work runs");
  }

  // Guards against two owners that both run requests of a bucket.
  void OldOwnerDecidesNothingAfterTheExport()
  {
    Agent first("a", mWallMs);
    first.mRecords.StartAsFirstOwner(mAll);
    first.mRecords.Export(mAll, "b");
    const AgentRequestActions actions = Send(first, RequestId::Make(mWallMs, mRandom), 1);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(actions) == nullptr);
    const auto* answer = Find<ReplyToSender>(actions);
    CPPUNIT_ASSERT(answer != nullptr);
    CPPUNIT_ASSERT(answer->mReply.mOutcome == RequestOutcome::NotOwner);
  }

  // Guards against records that are lost with the first answer to a transfer request.
  void RepeatedExportGivesTheSameRecords()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecords.StartAsFirstOwner(mAll);
    const RequestId id = RunAt(first, "price");
    const Json lost = first.mRecords.Export(mAll, "b");
    const Json repeated = first.mRecords.Export(mAll, "b");
    CPPUNIT_ASSERT(lost == repeated);
    second.mRecords.Import(mAll, repeated);
    CheckResendIsAnswered(second, id, "price");
  }

  // Guards against an agent that refuses buckets which it has owned before.
  void BucketsReturnToAnEarlierOwner()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecords.StartAsFirstOwner(mAll);
    second.mRecords.Import(mAll, first.mRecords.Export(mAll, "b"));
    const RequestId id = RunAt(second, "drawing");
    first.mRecords.Import(mAll, second.mRecords.Export(mAll, "a"));
    CheckResendIsAnswered(first, id, "drawing");
  }

  // Guards against a second run when the records were lost with their owner.
  void ResendWithoutRecordsNeverRuns()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecords.StartAsFirstOwner(mAll);
    const RequestId id = RunAt(first, "hold");
    second.mRecords.StartWithoutRecords(mAll);
    CheckResendIsUnknown(second, id);
    mWallMs += kClockSkewBound.count() + 1;
    RunAt(second, "work made after the loss runs");
  }

  // Guards against unknown outcomes of requests that certainly never ran before.
  void FirstAttemptRunsWithoutRecords()
  {
    Agent agent("a", mWallMs);
    agent.mRecords.StartWithoutRecords(mAll);
    ReceivedRequest request;
    request.mHandle = ++mHandle;
    request.mId = RequestId::Make(mWallMs, mRandom);
    request.mAttempt = MakeAttempt(1, 0);
    request.mMayHaveRun = false;
    request.mRemaining = Milliseconds(1'000);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(agent.mHome.OnRequest(request, Now())) != nullptr);
  }

  // Guards against a bucket that stays without an owner because a lost owner's successor, whose
  // clock is behind, numbered it too low.
  void LowNumberAfterALossDoesNotBlockTheBucket()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecords.StartWithoutRecords(mAll);
    first.mRecords.Export(mAll, "c");
    mWallMs -= 60'000;
    second.mRecords.StartWithoutRecords(mAll);
    const Json handoff = second.mRecords.Export(mAll, "a");
    mWallMs += 60'000;
    first.mRecords.Import(mAll, handoff);
    CheckResendIsUnknown(first, RequestId::Make(mWallMs, mRandom));
    mWallMs += kClockSkewBound.count() + 1;
    RunAt(first, "work made after the loss runs");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRecordTransferTest);

} // namespace

} // namespace dandelionslip
