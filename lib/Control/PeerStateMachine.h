// State machine of a leader's knowledge about another replica.
#pragma once

#include <memory>

namespace dandelionslip {

enum class PeerState
{
  Probe,     ///< The leader looks for the last matching entry.
  Replicate, ///< Entries are sent without waiting for each answer.
  Snapshot,  ///< The entries it needs are compacted; a snapshot is being sent.
  Refused,   ///< Its disk is not the one that was promoted.
};

enum class PeerEvent
{
  Matched,
  Mismatched,
  Compacted,
  Installed,
  StoreChanged,
  Refused,
};

/// State machine of a leader's knowledge about another replica.
class PeerStateMachine
{
public:
  PeerStateMachine();
  ~PeerStateMachine();
  PeerStateMachine(PeerStateMachine&&) noexcept;
  PeerStateMachine& operator=(PeerStateMachine&&) noexcept;

  PeerState State() const;
  /// Takes the transition for the event; false if the state has none.
  bool Process(PeerEvent aEvent);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dandelionslip
