// The event loop of a process and the threads that run it.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Runs an event loop on several threads and reacts to SIGTERM and SIGINT.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aThreads);
  ~WorkerPool();

  boost::asio::io_context& Loop();

  /// Sets what a stop signal starts; it must end with Exit.
  void OnStop(std::function<void()> aFunction);

  /// Sets what SIGHUP does: the settings may have changed. Without it the signal is only logged.
  void OnReload(std::function<void()> aFunction);

  /// Ends Run with an exit code.
  void Exit(int aCode);

  /// Blocks until Exit and returns its code.
  int Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace dandelionslip
