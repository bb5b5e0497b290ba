// Tests the transfer of request records to the new owner of their buckets.
#include "dandelionslip/Daemon/RequestRecordTransfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace dandelionslip {

namespace {

constexpr std::uint32_t kBuckets = 16;
constexpr std::int64_t kStartWallMs = 1'796'000'000'000;

class UnlimitedSlots : public SlotAdmission
{
public:
  std::optional<Refusal> TryStart(TimePoint) override { return std::nullopt; }
  void Finished(TimePoint, RuntimeClock::duration, RunResult) override {}
};

// An agent's request core and the transfer of its records.
struct Agent
{
  Agent(const std::string& aName, std::int64_t& aWallMs)
    : mRequestCore(
        SettingsFor(aName), mSlots, [](std::uint32_t) { return std::nullopt; }, mRegistry)
    , mRecordTransfer([&aWallMs] {
      return RequestTime{RuntimeClock::now(), aWallMs};
    })
  {
    mRecordTransfer.SetRequestCore(mRequestCore);
    mRequestCore.OnLease(true, {RuntimeClock::now(), aWallMs});
  }

  static AgentRequestSettings SettingsFor(const std::string& aName)
  {
    AgentRequestSettings settings;
    settings.mSelf = aName;
    settings.mIncarnation = 1;
    settings.mBuckets = kBuckets;
    return settings;
  }

  UnlimitedSlots mSlots;
  MetricsRegistry mRegistry;
  AgentRequestCore mRequestCore;
  RequestRecordTransfer mRecordTransfer;
};

class RequestRecordTransferTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestRecordTransferTest);
  CPPUNIT_TEST(ResendAtTheNewOwnerGetsTheFirstAnswer);
  CPPUNIT_TEST(PreviousOwnerRunsNothingAfterTheExport);
  CPPUNIT_TEST(RepeatedExportGivesTheSameRecords);
  CPPUNIT_TEST(BucketsReturnToAnEarlierOwner);
  CPPUNIT_TEST(ResendWithoutRecordsNeverRuns);
  CPPUNIT_TEST(FirstAttemptRunsWithoutRecords);
  CPPUNIT_TEST(LowGenerationAfterALossDoesNotBlockTheBucket);
  CPPUNIT_TEST_SUITE_END();

  std::int64_t mWallMs = kStartWallMs;
  Random mRandom{7};
  std::vector<std::uint32_t> mAllBuckets = std::vector<std::uint32_t>(kBuckets);
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
    return aAgent.mRequestCore.OnRequest(request, Now());
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

  // Runs a request at an agent, answers it with aAnswer and returns its id.
  RequestId RunAt(Agent& aAgent, const std::string& aAnswer)
  {
    const RequestId id = RequestId::Make(mWallMs, mRandom);
    const AgentRequestActions actions = Send(aAgent, id, 1);
    const auto* run = Find<RunAtUpstream>(actions);
    CPPUNIT_ASSERT(run != nullptr);
    ReceivedAnswer answer;
    answer.mAnswer.mBody.assign(aAnswer.begin(), aAnswer.end());
    answer.mEndOfStream = true;
    aAgent.mRequestCore.OnUpstreamAnswer(run->mRun, answer, Now());
    return id;
  }

  void CheckResendIsAnswered(Agent& aAgent, const RequestId& aId, const std::string& aAnswer)
  {
    const AgentRequestActions actions = Send(aAgent, aId, 2);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(actions) == nullptr);
    const auto* reply = Find<ReplyToSender>(actions);
    CPPUNIT_ASSERT(reply != nullptr);
    CPPUNIT_ASSERT(reply->mReply.mOutcome == RequestOutcome::Answered);
    CPPUNIT_ASSERT(reply->mReply.mAnswer.mBody == Bytes(aAnswer.begin(), aAnswer.end()));
  }

  void CheckResendIsUnknown(Agent& aAgent, const RequestId& aId)
  {
    const AgentRequestActions actions = Send(aAgent, aId, 2);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(actions) == nullptr);
    const auto* reply = Find<ReplyToSender>(actions);
    CPPUNIT_ASSERT(reply != nullptr);
    CPPUNIT_ASSERT(reply->mReply.mOutcome == RequestOutcome::Unknown);
  }

public:
  void setUp() override { std::iota(mAllBuckets.begin(), mAllBuckets.end(), 0U); }

  // Guards against a second run when a caller resends after a bucket transfer.
  void ResendAtTheNewOwnerGetsTheFirstAnswer()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecordTransfer.StartAsFirstOwner(mAllBuckets);
    const RequestId id = RunAt(first, "price");
    second.mRecordTransfer.Import(mAllBuckets, first.mRecordTransfer.Export(mAllBuckets, "b"));
    CheckResendIsAnswered(second, id, "price");
    // New requests run at the new owner.
    RunAt(second, "new work runs");
  }

  // Guards against two owners that both run requests of a bucket.
  void PreviousOwnerRunsNothingAfterTheExport()
  {
    Agent first("a", mWallMs);
    first.mRecordTransfer.StartAsFirstOwner(mAllBuckets);
    first.mRecordTransfer.Export(mAllBuckets, "b");
    const AgentRequestActions actions = Send(first, RequestId::Make(mWallMs, mRandom), 1);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(actions) == nullptr);
    const auto* reply = Find<ReplyToSender>(actions);
    CPPUNIT_ASSERT(reply != nullptr);
    CPPUNIT_ASSERT(reply->mReply.mOutcome == RequestOutcome::NotOwner);
  }

  // Guards against losing the records when the first answer to a transfer request is lost.
  void RepeatedExportGivesTheSameRecords()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecordTransfer.StartAsFirstOwner(mAllBuckets);
    const RequestId id = RunAt(first, "price");
    const Json lost = first.mRecordTransfer.Export(mAllBuckets, "b");
    const Json repeated = first.mRecordTransfer.Export(mAllBuckets, "b");
    CPPUNIT_ASSERT(lost == repeated);
    second.mRecordTransfer.Import(mAllBuckets, repeated);
    CheckResendIsAnswered(second, id, "price");
  }

  // Guards against an agent that refuses buckets which it has owned before.
  void BucketsReturnToAnEarlierOwner()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecordTransfer.StartAsFirstOwner(mAllBuckets);
    second.mRecordTransfer.Import(mAllBuckets, first.mRecordTransfer.Export(mAllBuckets, "b"));
    const RequestId id = RunAt(second, "drawing");
    first.mRecordTransfer.Import(mAllBuckets, second.mRecordTransfer.Export(mAllBuckets, "a"));
    CheckResendIsAnswered(first, id, "drawing");
  }

  // Guards against a second run of a request whose record was lost with its owner.
  void ResendWithoutRecordsNeverRuns()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecordTransfer.StartAsFirstOwner(mAllBuckets);
    const RequestId id = RunAt(first, "hold");
    second.mRecordTransfer.StartWithoutRecords(mAllBuckets);
    CheckResendIsUnknown(second, id);
    mWallMs += kClockSkewBound.count() + 1;
    // A request id that was made after the loss runs.
    RunAt(second, "work made after the loss runs");
  }

  // Guards against an unknown outcome for a request that cannot have run before.
  void FirstAttemptRunsWithoutRecords()
  {
    Agent agent("a", mWallMs);
    agent.mRecordTransfer.StartWithoutRecords(mAllBuckets);
    ReceivedRequest request;
    request.mHandle = ++mHandle;
    request.mId = RequestId::Make(mWallMs, mRandom);
    request.mAttempt = MakeAttempt(1, 0);
    request.mMayHaveRun = false;
    request.mRemaining = Milliseconds(1'000);
    CPPUNIT_ASSERT(Find<RunAtUpstream>(agent.mRequestCore.OnRequest(request, Now())) != nullptr);
  }

  // Guards against a bucket that cannot be taken over again: the successor of a lost owner takes
  // the generation from its clock, which is behind, so the bucket's next owner knows a higher one.
  void LowGenerationAfterALossDoesNotBlockTheBucket()
  {
    Agent first("a", mWallMs);
    Agent second("b", mWallMs);
    first.mRecordTransfer.StartWithoutRecords(mAllBuckets);
    first.mRecordTransfer.Export(mAllBuckets, "c");
    mWallMs -= 60'000;
    second.mRecordTransfer.StartWithoutRecords(mAllBuckets);
    const Json tables = second.mRecordTransfer.Export(mAllBuckets, "a");
    mWallMs += 60'000;
    first.mRecordTransfer.Import(mAllBuckets, tables);
    CheckResendIsUnknown(first, RequestId::Make(mWallMs, mRandom));
    mWallMs += kClockSkewBound.count() + 1;
    // A request id that was made after the loss runs.
    RunAt(first, "work made after the loss runs");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRecordTransferTest);

} // namespace

} // namespace dandelionslip
