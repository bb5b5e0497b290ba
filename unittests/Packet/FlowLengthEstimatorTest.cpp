// Tests of FlowLengthEstimator.
#include "dandelionslip/Packet/FlowLengthEstimator.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class FlowLengthEstimatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FlowLengthEstimatorTest);
  CPPUNIT_TEST(ShortFlowsAreRecognisedAfterThree);
  CPPUNIT_TEST(FlowsThatStayOpenAreLong);
  CPPUNIT_TEST(FlowsWithSeveralAnswersAreLong);
  CPPUNIT_TEST(FlowsWithoutAnswersShowNothing);
  CPPUNIT_TEST(LongFlowsAreNotTakenForShortOnes);
  CPPUNIT_TEST(OldFlowsLoseWeight);
  CPPUNIT_TEST_SUITE_END();

  FlowLengthEstimator mEstimator;
  TimePoint mNow{std::chrono::seconds(100)};

  void Open(int aFlows)
  {
    for (int i = 0; i < aFlows; ++i) {
      mEstimator.OnFirstAnswer(mNow);
    }
  }

  void End(int aFlows, unsigned aAnswers)
  {
    for (int i = 0; i < aFlows; ++i) {
      mEstimator.OnEnded(aAnswers, mNow);
    }
  }

  // Guards against a verdict on one or two flows, and against a service that is never recognised.
  void ShortFlowsAreRecognisedAfterThree()
  {
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
    Open(4);
    End(2, 1);
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
    End(1, 1);
    CPPUNIT_ASSERT(mEstimator.OneRequestPerFlow());
  }

  // Guards against callers that keep their flow, of which the few that end have carried little.
  void FlowsThatStayOpenAreLong()
  {
    Open(21);
    End(10, 1);
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
    End(1, 1);
    CPPUNIT_ASSERT(mEstimator.OneRequestPerFlow());
  }

  // Guards against flows with many requests that end soon.
  void FlowsWithSeveralAnswersAreLong()
  {
    Open(12);
    End(6, 1);
    End(6, 2);
    CPPUNIT_ASSERT(mEstimator.OneRequestPerFlow());
    Open(1);
    End(1, 2);
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
  }

  // Guards against flows that end before their first request, which lower the mean of long ones.
  void FlowsWithoutAnswersShowNothing()
  {
    Open(20);
    End(10, 0);
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
    End(2, 4);
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
  }

  // Guards against offers to a service with long flows: in ten minutes with 50 flows that carry 20
  // requests in 10 s each on average, no moment may look like one request per flow.
  void LongFlowsAreNotTakenForShortOnes()
  {
    Random random(11);
    Open(50);
    for (int i = 0; i < 60'000; ++i) {
      mNow += Milliseconds{10};
      if (random.Below(20) == 0) {
        End(1, static_cast<unsigned>(5 + random.Below(30)));
        Open(1);
      }
      CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
    }
  }

  // Guards against a service whose flows became short and that keeps the old verdict.
  void OldFlowsLoseWeight()
  {
    Open(20);
    End(20, 10);
    mNow += std::chrono::seconds(20);
    Open(20);
    End(20, 1);
    CPPUNIT_ASSERT(!mEstimator.OneRequestPerFlow());
    mNow += std::chrono::seconds(50);
    Open(20);
    End(20, 1);
    CPPUNIT_ASSERT(mEstimator.OneRequestPerFlow());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowLengthEstimatorTest);

} // namespace

} // namespace dandelionslip
