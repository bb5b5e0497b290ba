// Boost.MSM state machine of the upstream. Only this file includes the MSM headers, because they
// compile slowly.
#include "dandelionslip/Agent/UpstreamStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dandelionslip {

namespace {

namespace msm = boost::msm;

struct RampCompleted
{};
struct ResetToCold
{};
struct DrainRequested
{};
struct UndrainRequested
{};
struct StopRequested
{};
struct StartRequested
{};

template <UpstreamState kState>
struct NamedState : msm::front::state<>
{
  template <typename Event, typename Machine>
  void on_entry(const Event& /*aEvent*/, Machine& aMachine)
  {
    aMachine.mCurrent = kState;
  }
};

struct Definition : msm::front::state_machine_def<Definition>
{
  using Cold = NamedState<UpstreamState::Cold>;
  using Serving = NamedState<UpstreamState::Serving>;
  using Draining = NamedState<UpstreamState::Draining>;
  using Stopped = NamedState<UpstreamState::Stopped>;
  using initial_state = Cold;

  template <typename Source, typename Event, typename Target>
  using Row = msm::front::Row<Source, Event, Target>;

  using transition_table =
    boost::mpl::vector<Row<Cold, RampCompleted, Serving>, Row<Serving, ResetToCold, Cold>,
                       Row<Cold, DrainRequested, Draining>, Row<Serving, DrainRequested, Draining>,
                       Row<Draining, UndrainRequested, Cold>, Row<Cold, StopRequested, Stopped>,
                       Row<Serving, StopRequested, Stopped>, Row<Draining, StopRequested, Stopped>,
                       Row<Stopped, StartRequested, Cold>>;

  template <typename Event, typename Machine>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }

  UpstreamState mCurrent = UpstreamState::Cold;
};

} // namespace

struct UpstreamStateMachine::Machine : msm::back::state_machine<Definition>
{};

UpstreamStateMachine::UpstreamStateMachine()
  : mMachine(std::make_unique<Machine>())
{
  mMachine->start();
}

UpstreamStateMachine::~UpstreamStateMachine() = default;
UpstreamStateMachine::UpstreamStateMachine(UpstreamStateMachine&&) noexcept = default;
UpstreamStateMachine& UpstreamStateMachine::operator=(UpstreamStateMachine&&) noexcept = default;

UpstreamState UpstreamStateMachine::State() const
{
  return mMachine->mCurrent;
}

void UpstreamStateMachine::OnRampCompleted()
{
  mMachine->process_event(RampCompleted{});
}

void UpstreamStateMachine::OnResetToCold()
{
  mMachine->process_event(ResetToCold{});
}

void UpstreamStateMachine::OnDrain()
{
  mMachine->process_event(DrainRequested{});
}

void UpstreamStateMachine::OnUndrain()
{
  mMachine->process_event(UndrainRequested{});
}

void UpstreamStateMachine::OnStop()
{
  mMachine->process_event(StopRequested{});
}

void UpstreamStateMachine::OnStart()
{
  mMachine->process_event(StartRequested{});
}

} // namespace dandelionslip
