// Tests of the request handling of a balancer.
#include "RequestTestSupport.h"

#include "dandelionslip/Request/RequestMetricNames.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class FixedTargets : public RequestTargets
{
public:
  std::optional<std::string> OwnerOf(ServiceId /*aService*/,
                                     const RequestId& /*aId*/) const override
  {
    return mOwner;
  }
  std::vector<std::string> CandidatesOf(ServiceId /*aService*/) const override { return mAll; }

  std::optional<std::string> mOwner = "u1";
  std::vector<std::string> mAll{"u1", "u2", "u3"};
};

class BalancerRequestCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BalancerRequestCoreTest);
  CPPUNIT_TEST(OnlyCompleteMatchingAnswersAreDelivered);
  CPPUNIT_TEST(NotRunOnlyWhenCertain);
  CPPUNIT_TEST(UnknownOutcomeIsNeverRetried);
  CPPUNIT_TEST(LostLinkIsRetriedWithTheSameId);
  CPPUNIT_TEST(DeadlineEndsRequestsAndRetries);
  CPPUNIT_TEST(CancellationIsForwardedToTheAgent);
  CPPUNIT_TEST(InvalidIdsAreRefused);
  CPPUNIT_TEST(IdempotentRequestsAreRetriedAtAnotherAgent);
  CPPUNIT_TEST(BudgetEndsRetries);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mTargets = {};
    mRegistry = std::make_unique<MetricsRegistry>();
    BalancerRequestSettings settings;
    settings.mBudget.mTokensPerSecond = 1000;
    mCore = std::make_unique<BalancerRequestCore>(settings, mTargets, 61, *mRegistry);
  }

private:
  BalancerRequestActions Send(bool aIdempotent = false, std::uint32_t aAttempt = 1,
                              std::optional<std::string> aId = {}, std::int64_t aMs = 0)
  {
    CallerRequest request;
    request.mHandle = ++mHandle;
    request.mService = 1;
    request.mIdText = std::move(aId);
    request.mCallerAttempt = aAttempt;
    request.mIdempotent = aIdempotent;
    request.mRemaining = Milliseconds(2000);
    return mCore->OnRequest(std::move(request), At(aMs));
  }

  SendToAgent FirstAttempt(bool aIdempotent = false)
  {
    return Only<SendToAgent>(Send(aIdempotent));
  }

  BalancerRequestActions ReplyTo(const AttemptKey& aKey, RequestOutcome aOutcome,
                                 ReceivedAnswer aReceived = {},
                                 RefusalReason aReason = RefusalReason::SlotsFull,
                                 std::int64_t aMs = 1)
  {
    return mCore->OnAgentReply(aKey, aOutcome, Refusal{aReason, Milliseconds(0)},
                               std::move(aReceived), At(aMs));
  }

  // The attempt that the core sends when the time aMs has come.
  SendToAgent Next(std::int64_t aMs = 1001) { return Only<SendToAgent>(mCore->OnTick(At(aMs))); }

  static std::string Outcome(const BalancerRequestActions& aActions)
  {
    return OutcomeName(Only<ReplyToCaller>(aActions).mReply);
  }

  std::uint64_t Count(const char* aName, const char* aReason)
  {
    return mRegistry->CounterFor(aName, "reason=\"" + std::string(aReason) + "\"").Value();
  }

  // Guards against passing on a truncated answer, or one of another attempt or request.
  void OnlyCompleteMatchingAnswersAreDelivered()
  {
    const AttemptKey key = FirstAttempt().mKey;
    const AttemptKey other = FirstAttempt().mKey;
    CPPUNIT_ASSERT(ReplyTo(key, RequestOutcome::Answered, TruncatedAnswer("a")).empty());
    const AttemptKey second = Next().mKey;
    CPPUNIT_ASSERT(second.mId == key.mId && second.mAttempt > key.mAttempt);
    CPPUNIT_ASSERT(ReplyTo(key, RequestOutcome::Answered, CompleteAnswer("late")).empty());
    CPPUNIT_ASSERT(
      ReplyTo({key.mId, second.mAttempt + 1}, RequestOutcome::Answered, CompleteAnswer("x"))
        .empty());
    const auto answer =
      Only<ReplyToCaller>(ReplyTo(second, RequestOutcome::Answered, CompleteAnswer("a")));
    CPPUNIT_ASSERT(answer.mId == key.mId && answer.mReply.mAnswer.mBody == BytesOf("a"));
    CPPUNIT_ASSERT(ReplyTo(second, RequestOutcome::Answered, CompleteAnswer("a")).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         Outcome(ReplyTo(other, RequestOutcome::Answered, CompleteAnswer("b"))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count(metric::kRequestDrops, "late_answer"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Count(metric::kRequestDrops, "unmatched_answer"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count(metric::kRequestRetries, "link_lost"));
  }

  // Guards against a wrong "not run": when an attempt may have been sent, only the owner's reply
  // proves that it did not run.
  void NotRunOnlyWhenCertain()
  {
    const AttemptKey refused = FirstAttempt().mKey;
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(ReplyTo(refused, RequestOutcome::NotRun,
                                                                 {}, RefusalReason::RecordsFull)));
    mTargets.mOwner.reset();
    CPPUNIT_ASSERT(Send().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), Outcome(mCore->OnTick(At(2000))));
    mTargets.mOwner = "u1";
    const AttemptKey unsent = Only<SendToAgent>(Send(false, 1, {}, 2001)).mKey;
    mCore->OnAgentLinkFailed(unsent, false, At(2002));
    const AttemptKey lost = Next(2500).mKey;
    mCore->OnAgentLinkFailed(lost, true, At(2501));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(mCore->OnTick(At(4001))));
    // An earlier attempt of the caller may have run although this balancer never sent one.
    mTargets.mOwner.reset();
    CPPUNIT_ASSERT(Send(false, 2, "01ba60d3-4f94-7fe5-a827-585279c8b01e", 5000).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(mCore->OnTick(At(7000))));
  }

  // Guards against a second run: the owner's reply "unknown" must not be followed by a retry.
  void UnknownOutcomeIsNeverRetried()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(ReplyTo(FirstAttempt().mKey, RequestOutcome::Unknown)));
    CPPUNIT_ASSERT(!mCore->Active());
  }

  // Guards against giving up, or changing the id, when only the link to the owner failed.
  void LostLinkIsRetriedWithTheSameId()
  {
    const SendToAgent first = FirstAttempt();
    CPPUNIT_ASSERT(mCore->OnAgentLinkFailed(first.mKey, true, At(1)).empty());
    mTargets.mOwner = "u2";
    const SendToAgent second = Next();
    CPPUNIT_ASSERT(second.mKey.mId == first.mKey.mId);
    CPPUNIT_ASSERT_EQUAL(first.mKey.mAttempt + 1, second.mKey.mAttempt);
    CPPUNIT_ASSERT_EQUAL(std::string("u2"), second.mAgent);
    CPPUNIT_ASSERT(second.mRemaining < first.mRemaining);
    CPPUNIT_ASSERT(
      ReplyTo(second.mKey, RequestOutcome::NotOwner, {}, RefusalReason::TransferPending, 1002)
        .empty());
    const SendToAgent third = Next(1900);
    CPPUNIT_ASSERT_EQUAL(
      std::string("not_run"),
      Outcome(ReplyTo(third.mKey, RequestOutcome::NotRun, {}, RefusalReason::Deadline, 1901)));
  }

  // Guards against replies and retries after the deadline, also when the clock jumps.
  void DeadlineEndsRequestsAndRetries()
  {
    const SendToAgent sent = FirstAttempt();
    CPPUNIT_ASSERT(sent.mRemaining < Milliseconds(2000));
    const BalancerRequestActions ended = mCore->OnTick(At(3'600'000));
    CPPUNIT_ASSERT(Only<CancelAtAgent>(ended).mKey == sent.mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(ended));
    const SendToAgent refused = FirstAttempt();
    CPPUNIT_ASSERT_EQUAL(
      std::string("not_run"),
      Outcome(ReplyTo(refused.mKey, RequestOutcome::NotRun, {}, RefusalReason::SlotsFull, 1999)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count(metric::kRequestRetriesDenied, "deadline"));
  }

  // Guards against runs for callers that cancelled, and against the loss of an answer that arrives
  // after the cancellation.
  void CancellationIsForwardedToTheAgent()
  {
    const SendToAgent sent = FirstAttempt();
    CPPUNIT_ASSERT(Only<CancelAtAgent>(mCore->OnCallerCancelled(mHandle, At(1))).mKey == sent.mKey);
    CPPUNIT_ASSERT(mCore->OnCallerCancelled(mHandle, At(1)).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"),
                         Outcome(ReplyTo(sent.mKey, RequestOutcome::Cancelled)));
    const SendToAgent raced = FirstAttempt();
    mCore->OnCallerCancelled(mHandle, At(1));
    CPPUNIT_ASSERT_EQUAL(
      std::string("answered"),
      Outcome(ReplyTo(raced.mKey, RequestOutcome::Answered, CompleteAnswer("a"))));
    const SendToAgent lost = FirstAttempt();
    mCore->OnCallerCancelled(mHandle, At(1));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Outcome(mCore->OnAgentLinkFailed(lost.mKey, true, At(2))));
    mCore->OnAgentLinkFailed(FirstAttempt().mKey, false, At(2));
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"),
                         Outcome(mCore->OnCallerCancelled(mHandle, At(3))));
  }

  // Guards against accepting an id for which no record can be kept, although the request must run
  // at most once.
  void InvalidIdsAreRefused()
  {
    const auto refused = Only<ReplyToCaller>(Send(false, 1, "not an id"));
    CPPUNIT_ASSERT(refused.mReply.mRefusal.value().mReason == RefusalReason::BadRequestId);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), OutcomeName(refused.mReply));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Send(true, 1, "not an id").size());
    const std::string id = "01ba60d3-4f94-7fe5-a827-585279c8b01e";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<SendToAgent>(Send(false, 1, id)).size());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Outcome(Send(false, 1, id)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count(metric::kRequestDrops, "duplicate_attempt"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<SendToAgent>(Send(false, 2, id)).size());
  }

  // Guards against an idempotent request that fails because one agent does, and against uneven load
  // on the agents.
  void IdempotentRequestsAreRetriedAtAnotherAgent()
  {
    const SendToAgent first = FirstAttempt(true);
    CPPUNIT_ASSERT(ReplyTo(first.mKey, RequestOutcome::Unknown).empty());
    const SendToAgent second = Next();
    CPPUNIT_ASSERT(second.mAgent != first.mAgent);
    // The refusal says nothing about the first attempt, which may have run.
    CPPUNIT_ASSERT_EQUAL(
      std::string("unknown"),
      Outcome(ReplyTo(second.mKey, RequestOutcome::NotRun, {}, RefusalReason::Deadline)));
    std::map<std::string, int> open;
    for (int i = 0; i < 300; ++i) {
      ++open[FirstAttempt(true).mAgent];
    }
    for (const auto& [agent, count] : open) {
      CPPUNIT_ASSERT_MESSAGE(agent, count >= 95 && count <= 105);
    }
  }

  // Guards against retries beyond the caller's budget.
  void BudgetEndsRetries()
  {
    BalancerRequestSettings settings;
    settings.mBudget.mTokensPerSecond = 0;
    mCore = std::make_unique<BalancerRequestCore>(settings, mTargets, 62, *mRegistry);
    CPPUNIT_ASSERT(ReplyTo(FirstAttempt().mKey, RequestOutcome::NotRun).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         Outcome(ReplyTo(Next().mKey, RequestOutcome::NotRun)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count(metric::kRequestRetriesDenied, "budget"));
  }

  FixedTargets mTargets;
  ReplyHandle mHandle = 0;
  std::unique_ptr<MetricsRegistry> mRegistry;
  std::unique_ptr<BalancerRequestCore> mCore;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerRequestCoreTest);

} // namespace

} // namespace dandelionslip
