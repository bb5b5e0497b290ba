// State machine of a leader's knowledge about another replica, on Boost.MSM.
#include "ReplicaMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace dandelionslip {

namespace {

template <ReplicaEvent E>
struct On
{
};

// Names that Boost.MSM looks up keep the library's spelling.
// NOLINTBEGIN(readability-identifier-naming)
struct ReplicaDefinition : boost::msm::front::state_machine_def<ReplicaDefinition>
{
  template <ReplicaState S>
  struct In : boost::msm::front::state<>
  {
    template <typename E, typename Machine>
    void on_entry(const E& /*aEvent*/, Machine& aMachine)
    {
      aMachine.mState = S;
    }
  };

  using Probe = In<ReplicaState::Probe>;
  using Replicate = In<ReplicaState::Replicate>;
  using Snapshot = In<ReplicaState::Snapshot>;
  using Refused = In<ReplicaState::Refused>;
  using initial_state = Probe;

  struct transition_table
    : boost::mpl::vector<_row<Probe, On<ReplicaEvent::Matched>, Replicate>,
                         _row<Replicate, On<ReplicaEvent::Mismatched>, Probe>,
                         _row<Probe, On<ReplicaEvent::Compacted>, Snapshot>,
                         _row<Replicate, On<ReplicaEvent::Compacted>, Snapshot>,
                         _row<Snapshot, On<ReplicaEvent::Installed>, Probe>,
                         _row<Probe, On<ReplicaEvent::StoreChanged>, Probe>,
                         _row<Replicate, On<ReplicaEvent::StoreChanged>, Probe>,
                         _row<Snapshot, On<ReplicaEvent::StoreChanged>, Probe>,
                         _row<Probe, On<ReplicaEvent::Refused>, Refused>,
                         _row<Replicate, On<ReplicaEvent::Refused>, Refused>,
                         _row<Snapshot, On<ReplicaEvent::Refused>, Refused>>
  {};

  template <typename E, typename Machine>
  void no_transition(const E& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }

  ReplicaState mState = ReplicaState::Probe;
};
// NOLINTEND(readability-identifier-naming)

using Machine = boost::msm::back::state_machine<ReplicaDefinition>;

template <ReplicaEvent E>
bool ProcessOn(Machine& aMachine)
{
  return aMachine.process_event(On<E>()) == boost::msm::back::HANDLED_TRUE;
}

// One processor for each event, in the order of ReplicaEvent.
constexpr std::array kProcessors{
  &ProcessOn<ReplicaEvent::Matched>,      &ProcessOn<ReplicaEvent::Mismatched>,
  &ProcessOn<ReplicaEvent::Compacted>,    &ProcessOn<ReplicaEvent::Installed>,
  &ProcessOn<ReplicaEvent::StoreChanged>, &ProcessOn<ReplicaEvent::Refused>,
};

} // namespace

struct ReplicaMachine::Impl
{
  Machine mMachine;
};

ReplicaMachine::ReplicaMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

ReplicaMachine::~ReplicaMachine() = default;
ReplicaMachine::ReplicaMachine(ReplicaMachine&&) noexcept = default;
ReplicaMachine& ReplicaMachine::operator=(ReplicaMachine&&) noexcept = default;

ReplicaState ReplicaMachine::State() const
{
  return mImpl->mMachine.mState;
}

bool ReplicaMachine::Process(ReplicaEvent aEvent)
{
  return kProcessors.at(static_cast<std::size_t>(aEvent))(mImpl->mMachine);
}

} // namespace dandelionslip
