// Tests of the history checker with histories in which it has to report violations.
#include "RequestHistory.h"
#include "RequestTestSupport.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestHistoryTest);
  CPPUNIT_TEST(CorrectHistoryIsAccepted);
  CPPUNIT_TEST(SecondRunIsReported);
  CPPUNIT_TEST(ForeignOrUnfinishedAnswerIsReported);
  CPPUNIT_TEST(RunOfRefusedAttemptIsReported);
  CPPUNIT_TEST(IdempotentClaimsAreCheckedByCallerAttempt);
  CPPUNIT_TEST_SUITE_END();

  RequestId Id(bool aIdempotent = false)
  {
    const RequestId id = RequestId::Make(kWallStartMs, mRandom);
    mHistory.AddRequest(id, aIdempotent);
    return id;
  }

  void Run(const RequestId& aId, Attempt aAttempt, std::string_view aBody)
  {
    mHistory.SetAnswer(aId, mHistory.AddRun(aId, aAttempt), BytesOf(aBody));
  }

  std::size_t Violations() const { return mHistory.Check().size(); }

  // Guards against a checker that reports violations in every history.
  void CorrectHistoryIsAccepted()
  {
    const RequestId id = Id();
    mHistory.AddClaim(id, MakeAttempt(1, 0), NotRunReply({}));
    Run(id, MakeAttempt(1, 1), "a");
    mHistory.AddClaim(id, MakeAttempt(1, 1), AnsweredReply({200, "", BytesOf("a")}));
    mHistory.AddClaim(id, MakeAttempt(2, 0), UnknownReply());
    const RequestId idempotent = Id(true);
    Run(idempotent, MakeAttempt(1, 0), "b");
    Run(idempotent, MakeAttempt(1, 1), "c");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Violations());
  }

  // Guards against a checker that misses a second run, finished or not.
  void SecondRunIsReported()
  {
    const RequestId id = Id();
    Run(id, 1, "a");
    mHistory.AddRun(id, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
  }

  // Guards against a checker that accepts the answer of another request, or an answer of an
  // unfinished run.
  void ForeignOrUnfinishedAnswerIsReported()
  {
    const RequestId first = Id();
    const RequestId second = Id();
    Run(first, 1, "a");
    Run(second, 1, "b");
    mHistory.AddClaim(first, 1, AnsweredReply({200, "", BytesOf("b")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
    const RequestId open = Id();
    mHistory.AddRun(open, 1);
    mHistory.AddClaim(open, 1, AnsweredReply({200, "", {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Violations());
    mHistory.AddClaim(first, 1, AnsweredReply({200, "", BytesOf("a-")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Violations());
  }

  // Guards against a checker that misses a wrong "not run": the run may come after or before the
  // claim, and may be of the same or a lower attempt.
  void RunOfRefusedAttemptIsReported()
  {
    const RequestId later = Id();
    mHistory.AddClaim(later, 3, NotRunReply({}));
    Run(later, 3, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
    const RequestId earlier = Id();
    Run(earlier, 2, "a");
    mHistory.AddClaim(earlier, 3, CancelledReply());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Violations());
  }

  // Guards against a checker that ignores claims about idempotent requests.
  void IdempotentClaimsAreCheckedByCallerAttempt()
  {
    const RequestId id = Id(true);
    Run(id, MakeAttempt(1, 3), "a");
    mHistory.AddClaim(id, MakeAttempt(2, 255), NotRunReply({}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Violations());
    mHistory.AddClaim(id, MakeAttempt(1, 255), NotRunReply({}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Violations());
  }

  Random mRandom{31};
  RequestHistory mHistory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHistoryTest);

} // namespace

} // namespace dandelionslip
