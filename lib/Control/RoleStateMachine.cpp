// State machine of a replica's own role, on Boost.MSM.
#include "RoleStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace dandelionslip {

namespace {

template <RoleEvent E>
struct On
{
};

// Names that Boost.MSM looks up keep the library's spelling.
// NOLINTBEGIN(readability-identifier-naming)
struct RoleDefinition : boost::msm::front::state_machine_def<RoleDefinition>
{
  template <RaftRole R>
  struct In : boost::msm::front::state<>
  {
    template <typename E, typename Machine>
    void on_entry(const E& /*aEvent*/, Machine& aMachine)
    {
      aMachine.mRole = R;
    }
  };

  using Follower = In<RaftRole::Follower>;
  using PreCandidate = In<RaftRole::PreCandidate>;
  using Candidate = In<RaftRole::Candidate>;
  using Leader = In<RaftRole::Leader>;
  using Stopped = In<RaftRole::Stopped>;
  using initial_state = Follower;

  struct transition_table
    : boost::mpl::vector<_row<Follower, On<RoleEvent::ElectionDue>, PreCandidate>,
                         _row<PreCandidate, On<RoleEvent::ElectionDue>, PreCandidate>,
                         _row<Candidate, On<RoleEvent::ElectionDue>, PreCandidate>,
                         _row<PreCandidate, On<RoleEvent::PreVoteWon>, Candidate>,
                         _row<Follower, On<RoleEvent::TransferRequested>, Candidate>,
                         _row<Candidate, On<RoleEvent::VoteWon>, Leader>,
                         _row<PreCandidate, On<RoleEvent::StepDown>, Follower>,
                         _row<Candidate, On<RoleEvent::StepDown>, Follower>,
                         _row<Leader, On<RoleEvent::StepDown>, Follower>,
                         _row<Follower, On<RoleEvent::Stop>, Stopped>,
                         _row<PreCandidate, On<RoleEvent::Stop>, Stopped>,
                         _row<Candidate, On<RoleEvent::Stop>, Stopped>,
                         _row<Leader, On<RoleEvent::Stop>, Stopped>>
  {};

  template <typename E, typename Machine>
  void no_transition(const E& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }

  RaftRole mRole = RaftRole::Follower;
};
// NOLINTEND(readability-identifier-naming)

using Machine = boost::msm::back::state_machine<RoleDefinition>;

template <RoleEvent E>
bool ProcessOn(Machine& aMachine)
{
  return aMachine.process_event(On<E>()) == boost::msm::back::HANDLED_TRUE;
}

// One processor for each event, in the order of RoleEvent.
constexpr std::array kProcessors{
  &ProcessOn<RoleEvent::ElectionDue>, &ProcessOn<RoleEvent::PreVoteWon>,
  &ProcessOn<RoleEvent::VoteWon>,     &ProcessOn<RoleEvent::TransferRequested>,
  &ProcessOn<RoleEvent::StepDown>,    &ProcessOn<RoleEvent::Stop>,
};

} // namespace

struct RoleStateMachine::Impl
{
  Machine mMachine;
};

RoleStateMachine::RoleStateMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

RoleStateMachine::~RoleStateMachine() = default;

RaftRole RoleStateMachine::Role() const
{
  return mImpl->mMachine.mRole;
}

bool RoleStateMachine::Process(RoleEvent aEvent)
{
  return kProcessors.at(static_cast<std::size_t>(aEvent))(mImpl->mMachine);
}

std::string_view ToString(RaftRole aRole)
{
  constexpr std::array<std::string_view, 5> kNames{"follower", "pre_candidate", "candidate",
                                                   "leader", "stopped"};
  return kNames.at(static_cast<std::size_t>(aRole));
}

} // namespace dandelionslip
