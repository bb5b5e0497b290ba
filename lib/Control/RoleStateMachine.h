// State machine of a replica's own role.
#pragma once

#include "dandelionslip/Control/RaftAction.h"

#include <memory>

namespace dandelionslip {

enum class RoleEvent
{
  ElectionDue,       ///< No message from a leader arrived for one election timeout.
  PreVoteWon,        ///< A majority would vote for this replica.
  VoteWon,           ///< A majority voted for this replica.
  TransferRequested, ///< The leader transfers leadership to this replica.
  StepDown,          ///< A newer term or a leader appeared, or the quorum contact was lost.
  Stop,              ///< This replica must not take part any more.
};

/// State machine of a replica's own role.
class RoleStateMachine
{
public:
  RoleStateMachine();
  ~RoleStateMachine();
  RoleStateMachine(const RoleStateMachine&) = delete;
  RoleStateMachine& operator=(const RoleStateMachine&) = delete;

  RaftRole Role() const;
  /// Takes the transition for the event; false if the role has none.
  bool Process(RoleEvent aEvent);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dandelionslip
