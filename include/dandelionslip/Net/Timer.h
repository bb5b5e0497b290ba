// Repeating timers on the runtime's clock.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Calls a function at a fixed interval on a loop thread until destroyed.
class RepeatingTimer
{
public:
  RepeatingTimer(boost::asio::io_context& aLoop, Milliseconds aInterval,
                 std::function<void()> aFunction);
  ~RepeatingTimer();
  RepeatingTimer(const RepeatingTimer&) = delete;
  RepeatingTimer& operator=(const RepeatingTimer&) = delete;

private:
  struct State;
  std::shared_ptr<State> mState;
};

/// Calls a function once after a delay.
void CallAfter(boost::asio::io_context& aLoop, Milliseconds aDelay,
               std::function<void()> aFunction);

} // namespace dandelionslip
