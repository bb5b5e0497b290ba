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

/// Runs an event loop on several threads and handles SIGTERM, SIGINT and SIGHUP.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aThreads);
  ~WorkerPool();

  boost::asio::io_context& Loop();

  /// Sets the function that runs on SIGTERM or SIGINT; it must call Exit, at once or later. Without
  /// it the loop stops at once.
  void OnStop(std::function<void()> aFunction);

  /// Sets the function that runs on SIGHUP, the signal to read the settings again. Without it the
  /// signal is only logged.
  void OnReload(std::function<void()> aFunction);

  /// Makes Run return with an exit code.
  void Exit(int aCode);

  /// Blocks until the loop stops. Returns the code that Exit got, or 0 without a call of Exit.
  int Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace dandelionslip
