// State machine of a leader's replication to one peer.
#pragma once

#include <memory>

namespace dandelionslip {

enum class PeerState
{
  Probe,     ///< The leader searches for the last matching entry.
  Replicate, ///< Entries are sent without waiting for each answer.
  Snapshot,  ///< The entries that the peer needs are compacted; a snapshot is being sent.
  Refused,   ///< The peer's data directory is not the one that was promoted.
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

/// State machine of a leader's replication to one peer.
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
