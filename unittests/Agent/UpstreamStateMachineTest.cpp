// Tests of the upstream's state transitions.
#include "dandelionslip/Agent/UpstreamStateMachine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class UpstreamStateMachineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamStateMachineTest);
  CPPUNIT_TEST(TransitionsFollowTheTable);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a drained or stopped upstream taking work again because of ramp events.
  void TransitionsFollowTheTable()
  {
    using Machine = UpstreamStateMachine;
    using State = UpstreamState;
    struct Step
    {
      void (Machine::*mEvent)();
      State mExpected;
    };
    const Step steps[] = {
      {&Machine::OnResetToCold, State::Cold},
      {&Machine::OnRampCompleted, State::Serving},
      {&Machine::OnResetToCold, State::Cold},
      {&Machine::OnDrain, State::Draining},
      {&Machine::OnRampCompleted, State::Draining},
      {&Machine::OnUndrain, State::Cold},
      {&Machine::OnRampCompleted, State::Serving},
      {&Machine::OnDrain, State::Draining},
      {&Machine::OnResetToCold, State::Draining},
      {&Machine::OnStop, State::Stopped},
      {&Machine::OnUndrain, State::Stopped},
      {&Machine::OnRampCompleted, State::Stopped},
      {&Machine::OnStart, State::Cold},
    };
    Machine machine;
    CPPUNIT_ASSERT(machine.State() == State::Cold);
    for (const Step& step : steps) {
      (machine.*step.mEvent)();
      CPPUNIT_ASSERT_EQUAL(ToString(step.mExpected), ToString(machine.State()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamStateMachineTest);

} // namespace

} // namespace dandelionslip
