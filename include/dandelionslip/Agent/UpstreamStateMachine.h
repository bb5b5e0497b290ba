// Transitions between the states of an upstream.
#pragma once

#include "dandelionslip/Agent/UpstreamState.h"

#include <memory>

namespace dandelionslip {

/// Hides the Boost.MSM state machine. An event that does not apply in the current state leaves it
/// unchanged. Not thread-safe.
class UpstreamStateMachine
{
public:
  /// Starts in Cold.
  UpstreamStateMachine();
  ~UpstreamStateMachine();
  UpstreamStateMachine(UpstreamStateMachine&&) noexcept;
  UpstreamStateMachine& operator=(UpstreamStateMachine&&) noexcept;

  UpstreamState State() const;

  void OnRampCompleted(); ///< Cold to Serving.
  void OnResetToCold();   ///< Serving to Cold.
  void OnDrain();         ///< Cold or Serving to Draining.
  void OnUndrain();       ///< Draining to Cold; OnRampCompleted then leads to Serving.
  void OnStop();          ///< Any state to Stopped.
  void OnStart();         ///< Stopped to Cold.

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace dandelionslip
