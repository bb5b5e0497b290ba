// Tests of the request handling of an agent.
#include "RequestTestSupport.h"

#include "dandelionslip/Request/RequestMetricNames.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class AgentRequestCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AgentRequestCoreTest);
  CPPUNIT_TEST(ResendsGetTheCompleteAnswer);
  CPPUNIT_TEST(RefusedAttemptNeverRuns);
  CPPUNIT_TEST(FailedRunIsNeverRepeated);
  CPPUNIT_TEST(OnlyQueuedRequestsAreCancelled);
  CPPUNIT_TEST(AnswerAfterCancellationIsKept);
  CPPUNIT_TEST(DeadlineEndsQueuedAndRunningRequests);
  CPPUNIT_TEST(OldAndFutureIdsNeverRun);
  CPPUNIT_TEST(NonIdempotentRequestsNeedALease);
  CPPUNIT_TEST(FullAgentRelaysOnce);
  CPPUNIT_TEST(ShedRequestIsRelayed);
  CPPUNIT_TEST(RequestForEarlierProcessNeverRuns);
  CPPUNIT_TEST(UnmatchedAnswersAreDropped);
  CPPUNIT_TEST(FullRecordTableRefusesNewRequests);
  CPPUNIT_TEST(PlannedStopFinishesQueuedRequests);
  CPPUNIT_TEST(IdempotentRequestsNeedNoRecord);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Reset({}); }

private:
  // Makes a core that has one slot, a valid lease and all buckets.
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
      mCore->OnFirstOwnership(bucket, 1, At(0));
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

  // Sends a request that starts at once, and returns its run.
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

  // Guards against a second run for a resend, and against a resend that does not get the answer.
  void ResendsGetTheCompleteAnswer()
  {
    const RequestId id = NewId();
    const RunId run = Start(id);
    CPPUNIT_ASSERT(Send(id, 2).empty());
    const AgentRequestActions ended = mCore->OnUpstreamAnswer(run, CompleteAnswer("paid"), At(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All<ReplyToSender>(ended).size());
    for (const Attempt attempt : {1, 2, 3}) {
      const AgentRequestActions resent = Send(id, attempt, 10);
      CPPUNIT_ASSERT(Only<ReplyToSender>(resent).mReply.mAnswer.mBody == BytesOf("paid"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), resent.size());
    }
    const RequestId large = NewId();
    const std::string body(kMaxKeptAnswerBytes + 1, 'x');
    mCore->OnUpstreamAnswer(Start(large), CompleteAnswer(body), At(20));
    const RequestReply later = Only<ReplyToSender>(Send(large, 2, 21)).mReply;
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), OutcomeName(later));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(body.size()), later.mDigest.value().mLength);
  }

  // Guards against a wrong "not run": a late copy of a refused attempt must not run.
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

  // Guards against a second run when it is unknown whether the first one happened.
  void FailedRunIsNeverRepeated()
  {
    const RequestId lost = NewId();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(mCore->OnUpstreamFailed(Start(lost), At(1))));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(lost, 2, 2)));
    const RequestId cut = NewId();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(mCore->OnUpstreamAnswer(
                                                   Start(cut), TruncatedAnswer("pa"), At(1))));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(cut, 2, 2)));
    ReceivedAnswer open = CompleteAnswer("pa");
    open.mEndOfStream = false;
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(mCore->OnUpstreamAnswer(Start(NewId()), open, At(1))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Drops("cut_short"));
  }

  // Guards against the reply "cancelled" for a request that may have run.
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

  // Guards against the loss of an answer that arrives after its caller cancelled the request.
  void AnswerAfterCancellationIsKept()
  {
    const RequestId id = NewId();
    const RunId run = Start(id);
    mCore->OnCancel(mHandle, At(1));
    CPPUNIT_ASSERT(mCore->OnUpstreamAnswer(run, CompleteAnswer("paid"), At(2)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Drops("late_answer"));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(Send(id, 2, 3)));
  }

  // Guards against a caller that waits past its deadline, and against a run that starts after it.
  void DeadlineEndsQueuedAndRunningRequests()
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
    // After a run of 900 ms, a request with 800 ms left is expected to miss its deadline.
    const RunId slow = Only<RunAtUpstream>(Send(NewId(2000), 1, 2000)).mRun;
    mCore->OnUpstreamAnswer(slow, CompleteAnswer("slow"), At(2900));
    ReceivedRequest late;
    late.mId = NewId(3000);
    late.mRemaining = Milliseconds(800);
    CPPUNIT_ASSERT(RefusalReason::Deadline == Reason(mCore->OnRequest(late, At(3000))));
  }

  // Guards against a run of an id whose record may have expired, or would expire far too late.
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

  // Guards against two runs of one id: while an agent is without a valid lease, another agent can
  // become the owner.
  void NonIdempotentRequestsNeedALease()
  {
    const RequestId running = NewId();
    const RunId run = Start(running);
    const RequestId queued = NewId();
    Send(queued);
    const AgentRequestActions lost = mCore->OnLease(false, At(1));
    CPPUNIT_ASSERT(RefusalReason::NoControl == Reason(lost));
    CPPUNIT_ASSERT_EQUAL(std::string("not_home"), Outcome(Send(NewId())));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(mCore->OnUpstreamAnswer(run, CompleteAnswer("a"), At(2))));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(Send(running, 2, 3)));
    mCore->OnLease(true, At(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RunAtUpstream>(Send(NewId(), 1, 5)).size());
  }

  // Guards against relaying one attempt twice, and against the reply "answered" or "not run"
  // without a complete reply of the alternate agent that says so.
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
      const auto replies = All<ReplyToSender>(mCore->OnAlternateReply(
        runs[aIndex], aOutcome, {RefusalReason::Cold, {}}, aReceived, At(2)));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), replies.size());
      CPPUNIT_ASSERT(replies[0].mReply == replies[1].mReply);
      return OutcomeName(replies[0].mReply);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         answer(0, RequestOutcome::Answered, CompleteAnswer("a")));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         answer(1, RequestOutcome::Answered, TruncatedAnswer("a")));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer(2, RequestOutcome::NotRun, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer(3, RequestOutcome::Unknown, {}));
    CPPUNIT_ASSERT_EQUAL(
      std::string("unknown"),
      OutcomeName(
        All<ReplyToSender>(mCore->OnAlternateLinkFailed(runs[4], true, At(2)))[0].mReply));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(Send(ids[2], 2, 3)));
  }

  // Guards against the reply "not run" to a request that the upstream refused, while the alternate
  // agent could still run it.
  void ShedRequestIsRelayed()
  {
    mAlternate = AlternateAgent{"u2", 9};
    const RunId run = Start(NewId());
    const auto relayed =
      Only<RelayToAlternate>(mCore->OnUpstreamShed(run, {RefusalReason::UpstreamShed, {}}, At(1)));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         Outcome(mCore->OnAlternateLinkFailed(relayed.mRun, false, At(2))));
  }

  // Guards against a second run of a relayed request after the alternate agent restarted.
  void RequestForEarlierProcessNeverRuns()
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
      std::size_t(2),
      All<ReplyToSender>(mCore->OnUpstreamAnswer(run, CompleteAnswer("a"), At(1))).size());
  }

  // Guards against passing an answer to a caller of another request.
  void UnmatchedAnswersAreDropped()
  {
    const RunId run = Start(NewId());
    CPPUNIT_ASSERT(mCore->OnUpstreamAnswer(run + 1, CompleteAnswer("b"), At(1)).empty());
    CPPUNIT_ASSERT(
      mCore->OnAlternateReply(run, RequestOutcome::Answered, {}, CompleteAnswer("b"), At(1))
        .empty());
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(mCore->OnUpstreamAnswer(run, CompleteAnswer("a"), At(2))));
    CPPUNIT_ASSERT(mCore->OnUpstreamAnswer(run, CompleteAnswer("a"), At(3)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Drops("unmatched_answer"));
  }

  // Guards against removing a record to make room for a new one, and against a run without a
  // record.
  void FullRecordTableRefusesNewRequests()
  {
    RecordLimits limits;
    limits.mMaxRecords = 1;
    limits.mMaxRefused = 1;
    Reset(limits);
    const RequestId kept = NewId();
    mCore->OnUpstreamAnswer(Start(kept), CompleteAnswer("a"), At(1));
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

  // Guards against a planned stop that drops queued requests or accepts new ones.
  void PlannedStopFinishesQueuedRequests()
  {
    const RunId run = Start(NewId());
    Send(NewId());
    mCore->OnPlannedStop(At(1));
    CPPUNIT_ASSERT(RefusalReason::Draining == Reason(Send(NewId(), 1, 2)));
    const AgentRequestActions next = mCore->OnUpstreamAnswer(run, CompleteAnswer("a"), At(3));
    const AgentRequestActions last =
      mCore->OnUpstreamAnswer(Only<RunAtUpstream>(next).mRun, CompleteAnswer("b"), At(4));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), Outcome(last));
    CPPUNIT_ASSERT(!mCore->Active());
  }

  // Guards against idempotent requests that fill the record table or need a valid lease.
  void IdempotentRequestsNeedNoRecord()
  {
    ReceivedRequest request;
    request.mIdempotent = true;
    request.mRemaining = Milliseconds(100);
    mCore->OnLease(false, At(0));
    const RunId run = Only<RunAtUpstream>(mCore->OnRequest(request, At(0))).mRun;
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(mCore->OnUpstreamAnswer(run, CompleteAnswer("a"), At(1))));
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
