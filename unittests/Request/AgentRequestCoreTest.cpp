// Tests of the agent's request handling: the outcome table and each step's failures.
#include "RequestTestSupport.h"

#include "dandelionslip/Request/RequestMetricNames.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class AgentRequestCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentRequestCoreTest);
  CPPUNIT_TEST(WholeAnswerIsGivenToEveryResend);
  CPPUNIT_TEST(RefusedAttemptNeverRuns);
  CPPUNIT_TEST(FailedRunIsUnknownForever);
  CPPUNIT_TEST(OnlyQueuedRequestsAreCancelled);
  CPPUNIT_TEST(CancellationRacesTheAnswer);
  CPPUNIT_TEST(DeadlineEndsEveryPhase);
  CPPUNIT_TEST(OldAndFutureIdsNeverRun);
  CPPUNIT_TEST(NothingStartsWithoutLease);
  CPPUNIT_TEST(FullAgentRelaysOnce);
  CPPUNIT_TEST(ShedRequestMovesToTheAlternate);
  CPPUNIT_TEST(MessageForEarlierProcessNeverRuns);
  CPPUNIT_TEST(CrossedAnswersAreDropped);
  CPPUNIT_TEST(FullRecordTableRefusesBeforeTheRun);
  CPPUNIT_TEST(DrainingFinishesQueuedRequests);
  CPPUNIT_TEST(IdempotentRequestsNeedNoRecord);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Reset({}); }

private:
  // A core with one slot, a valid lease and all buckets.
  void Reset(RecordLimits aLimits)
  {
    AgentRequestSettings settings;
    settings.mSelf = "u1";
    settings.mIncarnation = 7;
    settings.mBuckets = 16;
    settings.mSlots = 1;
    settings.mRecords = aLimits;
    mSlots = std::make_unique<FixedSlots>(1);
    mRegistry = std::make_unique<MetricsRegistry>();
    const auto alternate = [this](std::uint32_t) { return mAlternate; };
    mCore = std::make_unique<AgentRequestCore>(settings, *mSlots, alternate, *mRegistry);
    mAlternate.reset();
    for (std::uint32_t bucket = 0; bucket < settings.mBuckets; ++bucket) {
      mCore->OnBucketFirstOwner(bucket, 1, At(0));
    }
    mCore->OnLease(true, At(0));
  }

  RequestId NewId(std::int64_t aMs = 0) { return RequestId::Make(kWallStartMs + aMs, mRandom); }

  AgentRequestActions Send(const RequestId& aId, Attempt aAttempt = 1, std::int64_t aMs = 0)
  {
    ReceivedRequest request;
    request.mHandle = ++mHandle;
    request.mId = aId;
    request.mAttempt = aAttempt;
    request.mRemaining = Milliseconds(1000);
    request.mCaller = aId.Hash();
    request.mBody = BytesOf("body");
    return mCore->OnRequest(request, At(aMs));
  }

  // Starts a request and returns its run.
  RunId Start(const RequestId& aId) { return Only<RunAtUpstream>(Send(aId)).mRun; }

  // The outcome of the only reply among the actions.
  static std::string Outcome(const AgentRequestActions& aActions)
  {
    return OutcomeName(Only<ReplyToSender>(aActions).mReply);
  }

  static RefusalReason Reason(const AgentRequestActions& aActions)
  {
    return Only<ReplyToSender>(aActions).mReply.mRefusal.value().mReason;
  }

  std::uint64_t Refusals(RefusalReason aReason)
  {
    return mRegistry
      ->CounterFor(metric::kRequestRefusals, "reason=\"" + std::string(ToString(aReason)) + "\"")
      .Value();
  }

  std::uint64_t Drops(const char* aReason)
  {
    return mRegistry->CounterFor(metric::kRequestDrops, "reason=\"" + std::string(aReason) + "\"")
      .Value();
  }

  // Guards against a second run for a resend, and against a resend left without the answer.
  void WholeAnswerIsGivenToEveryResend()
  {
    const RequestId id = NewId();
    const RunId run = Start(id);
    CPPUNIT_ASSERT(Send(id, 2).empty());
    const AgentRequestActions ended = mCore->OnUpstreamAnswer(run, Whole("paid"), At(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All<ReplyToSender>(ended).size());
    for (const Attempt attempt : {1, 2, 3}) {
      const AgentRequestActions resent = Send(id, attempt, 10);
      CPPUNIT_ASSERT(Only<ReplyToSender>(resent).mReply.mAnswer.mBody == BytesOf("paid"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), resent.size());
    }
    const RequestId large = NewId();
    const std::string body(kMaxKeptAnswerBytes + 1, 'x');
    mCore->OnUpstreamAnswer(Start(large), Whole(body), At(20));
    const RequestReply later = Only<ReplyToSender>(Send(large, 2, 21)).mReply;
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), OutcomeName(later));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(body.size()), later.mDigest.value().mLength);
  }

  // Guards against a false "not run": a late copy of a refused attempt must be refused as well.
  void RefusedAttemptNeverRuns()
  {
    const RequestId id = NewId();
    const RunId run = Start(id);
    const AgentRequestActions refused =
      mCore->OnUpstreamShed(run, {RefusalReason::UpstreamShed, Milliseconds(7)}, At(1));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(refused));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(Send(id, 1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RunAtUpstream>(Send(id, 2, 3)).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Refusals(RefusalReason::UpstreamShed));
    CPPUNIT_ASSERT(mSlots->mResults == std::vector{RunResult::Shed});
  }

  // Guards against another run after one that may have happened.
  void FailedRunIsUnknownForever()
  {
    const RequestId lost = NewId();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(mCore->OnUpstreamFailed(Start(lost), At(1))));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(lost, 2, 2)));
    const RequestId cut = NewId();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(mCore->OnUpstreamAnswer(Start(cut), CutShort("pa"), At(1))));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(cut, 2, 2)));
    ReceivedAnswer open = Whole("pa");
    open.mEndOfStream = false;
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(mCore->OnUpstreamAnswer(Start(NewId()), open, At(1))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Drops("cut_short"));
  }

  // Guards against "cancelled" for a request that may have run.
  void OnlyQueuedRequestsAreCancelled()
  {
    const RequestId running = NewId();
    const RunId run = Start(running);
    const RequestId queued = NewId();
    CPPUNIT_ASSERT(Send(queued).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), Outcome(mCore->OnCancel(mHandle, At(1))));
    const AgentRequestActions cancelled = mCore->OnCancel(mHandle - 1, At(1));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(cancelled));
    CPPUNIT_ASSERT_EQUAL(run, Only<CancelRun>(cancelled).mRun);
    mCore->OnUpstreamFailed(run, At(2));
    CPPUNIT_ASSERT(mSlots->mResults == std::vector{RunResult::Cancelled});
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(Send(queued, 1, 3)));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(running, 2, 3)));
  }

  // Guards against losing an answer that was on its way when its caller withdrew.
  void CancellationRacesTheAnswer()
  {
    const RequestId id = NewId();
    const RunId run = Start(id);
    mCore->OnCancel(mHandle, At(1));
    CPPUNIT_ASSERT(mCore->OnUpstreamAnswer(run, Whole("paid"), At(2)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Drops("late_answer"));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(Send(id, 2, 3)));
  }

  // Guards against callers that wait past their deadline, and against runs that start after it.
  void DeadlineEndsEveryPhase()
  {
    const RequestId running = NewId();
    const RunId run = Start(running);
    const RequestId queued = NewId();
    Send(queued);
    const auto replies = All<ReplyToSender>(mCore->OnTick(At(1000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), replies.size());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), OutcomeName(replies[0].mReply));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), OutcomeName(replies[1].mReply));
    CPPUNIT_ASSERT(All<RunAtUpstream>(mCore->OnUpstreamFailed(run, At(1001))).empty());
    // A run that takes 900 ms makes a request with 800 ms left hopeless.
    const RunId slow = Only<RunAtUpstream>(Send(NewId(2000), 1, 2000)).mRun;
    mCore->OnUpstreamAnswer(slow, Whole("slow"), At(2900));
    ReceivedRequest late;
    late.mId = NewId(3000);
    late.mRemaining = Milliseconds(800);
    CPPUNIT_ASSERT(RefusalReason::Deadline == Reason(mCore->OnRequest(late, At(3000))));
  }

  // Guards against a run of an id whose record may be gone or would never expire.
  void OldAndFutureIdsNeverRun()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(NewId(-600'001))));
    CPPUNIT_ASSERT(RefusalReason::BadRequestId == Reason(Send(NewId(30'001))));
    const RequestId far = NewId(700'000);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(far)));
    CPPUNIT_ASSERT(RefusalReason::BadRequestId == Reason(Send(far)));
    ReceivedRequest none;
    none.mRemaining = Milliseconds(100);
    const AgentRequestActions refused = mCore->OnRequest(none, At(0));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(refused));
    CPPUNIT_ASSERT(RefusalReason::BadRequestId == Reason(refused));
    // The refused attempt stays refused when its timestamp is no longer ahead.
    const RequestId ahead = NewId(40'000);
    Send(ahead);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(Send(ahead, 1, 50'000)));
  }

  // Guards against two owners that both run an id while one is cut off from control.
  void NothingStartsWithoutLease()
  {
    const RequestId running = NewId();
    const RunId run = Start(running);
    const RequestId queued = NewId();
    Send(queued);
    const AgentRequestActions lost = mCore->OnLease(false, At(1));
    CPPUNIT_ASSERT(RefusalReason::NoControl == Reason(lost));
    CPPUNIT_ASSERT_EQUAL(std::string("not_home"), Outcome(Send(NewId())));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(mCore->OnUpstreamAnswer(run, Whole("a"), At(2))));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(Send(running, 2, 3)));
    mCore->OnLease(true, At(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RunAtUpstream>(Send(NewId(), 1, 5)).size());
  }

  // Guards against relaying one attempt twice, and against an outcome that the alternate did not
  // confirm.
  void FullAgentRelaysOnce()
  {
    mAlternate = AlternateAgent{"u2", 9};
    Start(NewId());
    Send(NewId());
    Send(NewId());
    std::vector<RequestId> ids;
    std::vector<RunId> runs;
    for (int i = 0; i < 5; ++i) {
      ids.push_back(NewId());
      const auto relayed = Only<RelayToAlternate>(Send(ids.back()));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), relayed.mIncarnation);
      CPPUNIT_ASSERT(Send(ids.back(), 2).empty());
      runs.push_back(relayed.mRun);
    }
    const auto answer = [&](std::size_t aIndex, RequestOutcome aOutcome,
                            const ReceivedAnswer& aReceived) {
      const auto replies = All<ReplyToSender>(mCore->OnAlternateAnswer(
        runs[aIndex], aOutcome, {RefusalReason::Cold, {}}, aReceived, At(2)));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), replies.size());
      CPPUNIT_ASSERT(replies[0].mReply == replies[1].mReply);
      return OutcomeName(replies[0].mReply);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), answer(0, RequestOutcome::Answered, Whole("a")));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         answer(1, RequestOutcome::Answered, CutShort("a")));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer(2, RequestOutcome::NotRun, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer(3, RequestOutcome::Unknown, {}));
    CPPUNIT_ASSERT_EQUAL(
      std::string("unknown"),
      OutcomeName(
        All<ReplyToSender>(mCore->OnAlternateLinkFailed(runs[4], true, At(2)))[0].mReply));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(Send(ids[2], 2, 3)));
  }

  // Guards against giving up a request that the upstream refused while another one can run it.
  void ShedRequestMovesToTheAlternate()
  {
    mAlternate = AlternateAgent{"u2", 9};
    const RunId run = Start(NewId());
    const auto relayed =
      Only<RelayToAlternate>(mCore->OnUpstreamShed(run, {RefusalReason::UpstreamShed, {}}, At(1)));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         Outcome(mCore->OnAlternateLinkFailed(relayed.mRun, false, At(2))));
  }

  // Guards against a second run of a relayed request after the alternate's agent restarted.
  void MessageForEarlierProcessNeverRuns()
  {
    ReceivedRequest request;
    request.mHandle = 500;
    request.mId = NewId();
    request.mRelayed = true;
    request.mTargetIncarnation = 6;
    request.mRemaining = Milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(mCore->OnRequest(request, At(0))));
    request.mTargetIncarnation = 7;
    request.mHandle = 501;
    const RunId run = Only<RunAtUpstream>(mCore->OnRequest(request, At(0))).mRun;
    request.mHandle = 502;
    CPPUNIT_ASSERT(mCore->OnRequest(request, At(0)).empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(2), All<ReplyToSender>(mCore->OnUpstreamAnswer(run, Whole("a"), At(1))).size());
  }

  // Guards against an answer given to another request.
  void CrossedAnswersAreDropped()
  {
    const RunId run = Start(NewId());
    CPPUNIT_ASSERT(mCore->OnUpstreamAnswer(run + 1, Whole("b"), At(1)).empty());
    CPPUNIT_ASSERT(
      mCore->OnAlternateAnswer(run, RequestOutcome::Answered, {}, Whole("b"), At(1)).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(mCore->OnUpstreamAnswer(run, Whole("a"), At(2))));
    CPPUNIT_ASSERT(mCore->OnUpstreamAnswer(run, Whole("a"), At(3)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Drops("unmatched_answer"));
  }

  // Guards against forgetting a record to make room, and against running without one.
  void FullRecordTableRefusesBeforeTheRun()
  {
    RecordLimits limits;
    limits.mMaxRecords = 1;
    limits.mMaxRefused = 1;
    Reset(limits);
    const RequestId kept = NewId();
    mCore->OnUpstreamAnswer(Start(kept), Whole("a"), At(1));
    const RequestId refused = NewId();
    CPPUNIT_ASSERT(RefusalReason::RecordsFull == Reason(Send(refused, 1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(NewId(), 1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(Send(kept, 2, 599'999)));
    mCore->OnTick(At(600'001));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mCore->Records().Size());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(refused, 1, 600'002)));
    // A wall clock that steps back must not make an expired id look new.
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(kept, 3, 10)));
  }

  // Guards against a planned stop that drops queued requests or takes new ones.
  void DrainingFinishesQueuedRequests()
  {
    const RunId run = Start(NewId());
    Send(NewId());
    mCore->OnPlannedStop(At(1));
    CPPUNIT_ASSERT(RefusalReason::Draining == Reason(Send(NewId(), 1, 2)));
    const AgentRequestActions next = mCore->OnUpstreamAnswer(run, Whole("a"), At(3));
    const AgentRequestActions last =
      mCore->OnUpstreamAnswer(Only<RunAtUpstream>(next).mRun, Whole("b"), At(4));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(last));
    CPPUNIT_ASSERT(!mCore->Active());
  }

  // Guards against idempotent requests filling the record table or waiting for a bucket.
  void IdempotentRequestsNeedNoRecord()
  {
    ReceivedRequest request;
    request.mIdempotent = true;
    request.mRemaining = Milliseconds(100);
    mCore->OnLease(false, At(0));
    const RunId run = Only<RunAtUpstream>(mCore->OnRequest(request, At(0))).mRun;
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(mCore->OnUpstreamAnswer(run, Whole("a"), At(1))));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mCore->Records().Size());
  }

  Random mRandom{21};
  ReplyHandle mHandle = 0;
  std::unique_ptr<FixedSlots> mSlots;
  std::unique_ptr<MetricsRegistry> mRegistry;
  std::optional<AlternateAgent> mAlternate;
  std::unique_ptr<AgentRequestCore> mCore;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentRequestCoreTest);

} // namespace

} // namespace dandelionslip
