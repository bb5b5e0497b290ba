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

  /// Sets the function that SIGTERM and SIGINT call; it must lead to a call of Exit. Without it the
  /// loop stops at once.
  void OnStop(std::function<void()> aFunction);

  /// Sets the function that SIGHUP calls, after which the settings may have changed. Without it the
  /// signal is only logged.
  void OnReload(std::function<void()> aFunction);

  /// Makes Run return with an exit code.
  void Exit(int aCode);

  /// Blocks until Exit and returns its code.
  int Run();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace dandelionslip
