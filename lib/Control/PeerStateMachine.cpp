// State machine of a leader's replication to one peer, on Boost.MSM.
#include "PeerStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace dandelionslip {

namespace {

template <PeerEvent E>
struct On
{
};

// Names that Boost.MSM looks up keep the library's spelling.
// NOLINTBEGIN(readability-identifier-naming)
struct PeerDefinition : boost::msm::front::state_machine_def<PeerDefinition>
{
  template <PeerState S>
  struct In : boost::msm::front::state<>
  {
    template <typename E, typename Machine>
    void on_entry(const E& /*aEvent*/, Machine& aMachine)
    {
      aMachine.mState = S;
    }
  };

  using Probe = In<PeerState::Probe>;
  using Replicate = In<PeerState::Replicate>;
  using Snapshot = In<PeerState::Snapshot>;
  using Refused = In<PeerState::Refused>;
  using initial_state = Probe;

  struct transition_table
    : boost::mpl::vector<_row<Probe, On<PeerEvent::Matched>, Replicate>,
                         _row<Replicate, On<PeerEvent::Mismatched>, Probe>,
                         _row<Probe, On<PeerEvent::Compacted>, Snapshot>,
                         _row<Replicate, On<PeerEvent::Compacted>, Snapshot>,
                         _row<Snapshot, On<PeerEvent::Installed>, Probe>,
                         _row<Probe, On<PeerEvent::StoreChanged>, Probe>,
                         _row<Replicate, On<PeerEvent::StoreChanged>, Probe>,
                         _row<Snapshot, On<PeerEvent::StoreChanged>, Probe>,
                         _row<Probe, On<PeerEvent::Refused>, Refused>,
                         _row<Replicate, On<PeerEvent::Refused>, Refused>,
                         _row<Snapshot, On<PeerEvent::Refused>, Refused>>
  {};

  template <typename E, typename Machine>
  void no_transition(const E& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }

  PeerState mState = PeerState::Probe;
};
// NOLINTEND(readability-identifier-naming)

using Machine = boost::msm::back::state_machine<PeerDefinition>;

template <PeerEvent E>
bool ProcessOn(Machine& aMachine)
{
  return aMachine.process_event(On<E>()) == boost::msm::back::HANDLED_TRUE;
}

// One processor for each event, in the order of PeerEvent.
constexpr std::array kProcessors{
  &ProcessOn<PeerEvent::Matched>,      &ProcessOn<PeerEvent::Mismatched>,
  &ProcessOn<PeerEvent::Compacted>,    &ProcessOn<PeerEvent::Installed>,
  &ProcessOn<PeerEvent::StoreChanged>, &ProcessOn<PeerEvent::Refused>,
};

} // namespace

struct PeerStateMachine::Impl
{
  Machine mMachine;
};

PeerStateMachine::PeerStateMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

PeerStateMachine::~PeerStateMachine() = default;
PeerStateMachine::PeerStateMachine(PeerStateMachine&&) noexcept = default;
PeerStateMachine& PeerStateMachine::operator=(PeerStateMachine&&) noexcept = default;

PeerState PeerStateMachine::State() const
{
  return mImpl->mMachine.mState;
}

bool PeerStateMachine::Process(PeerEvent aEvent)
{
  return kProcessors.at(static_cast<std::size_t>(aEvent))(mImpl->mMachine);
}

} // namespace dandelionslip
