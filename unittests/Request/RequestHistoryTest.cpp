// Tests of the history checker with histories that it has to refuse.
#include "RequestHistory.h"
#include "RequestTestSupport.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestHistoryTest);
  CPPUNIT_TEST(CorrectHistoryIsAccepted);
  CPPUNIT_TEST(SecondRunIsRefused);
  CPPUNIT_TEST(ForeignOrUnfinishedAnswerIsRefused);
  CPPUNIT_TEST(RunOfRefusedAttemptIsRefused);
  CPPUNIT_TEST(IdempotentClaimsAreCheckedByCallerAttempt);
  CPPUNIT_TEST_SUITE_END();

  RequestId Id(bool aIdempotent = false)
  {
    const RequestId id = RequestId::Make(kWallStartMs, mRandom);
    mHistory.Sent(id, aIdempotent);
    return id;
  }

  void Run(const RequestId& aId, Attempt aAttempt, std::string_view aBody)
  {
    mHistory.Produced(aId, mHistory.Started(aId, aAttempt), BytesOf(aBody));
  }

  std::size_t Violations() const { return mHistory.Check().size(); }

  // Guards against a checker that refuses everything.
  void CorrectHistoryIsAccepted()
  {
    const RequestId id = Id();
    mHistory.Claimed(id, MakeAttempt(1, 0), NotRunReply({}));
    Run(id, MakeAttempt(1, 1), "a");
    mHistory.Claimed(id, MakeAttempt(1, 1), AnsweredWith({200, "", BytesOf("a")}));
    mHistory.Claimed(id, MakeAttempt(2, 0), UnknownOutcome());
    const RequestId idempotent = Id(true);
    Run(idempotent, MakeAttempt(1, 0), "b");
    Run(idempotent, MakeAttempt(1, 1), "c");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Violations());
  }

  // Guards against a checker that misses a duplicate run, finished or not.
  void SecondRunIsRefused()
  {
    const RequestId id = Id();
    Run(id, 1, "a");
    mHistory.Started(id, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
  }

  // Guards against a checker that accepts another request's answer, or one before the run ended.
  void ForeignOrUnfinishedAnswerIsRefused()
  {
    const RequestId first = Id();
    const RequestId second = Id();
    Run(first, 1, "a");
    Run(second, 1, "b");
    mHistory.Claimed(first, 1, AnsweredWith({200, "", BytesOf("b")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
    const RequestId open = Id();
    mHistory.Started(open, 1);
    mHistory.Claimed(open, 1, AnsweredWith({200, "", {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Violations());
    mHistory.Claimed(first, 1, AnsweredWith({200, "", BytesOf("a-")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Violations());
  }

  // Guards against a checker that misses a false "not run", whether the run is later or earlier,
  // and of the same or a lower attempt.
  void RunOfRefusedAttemptIsRefused()
  {
    const RequestId later = Id();
    mHistory.Claimed(later, 3, NotRunReply({}));
    Run(later, 3, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
    const RequestId earlier = Id();
    Run(earlier, 2, "a");
    mHistory.Claimed(earlier, 3, CancelledOutcome());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Violations());
  }

  // Guards against a checker that ignores claims about idempotent requests.
  void IdempotentClaimsAreCheckedByCallerAttempt()
  {
    const RequestId id = Id(true);
    Run(id, MakeAttempt(1, 3), "a");
    mHistory.Claimed(id, MakeAttempt(2, 255), NotRunReply({}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Violations());
    mHistory.Claimed(id, MakeAttempt(1, 255), NotRunReply({}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
  }

  Random mRandom{31};
  RequestHistory mHistory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHistoryTest);

} // namespace

} // namespace dandelionslip
