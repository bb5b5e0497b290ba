// Timers on RuntimeClock.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Calls a function repeatedly on a thread of the event loop until destroyed. The interval runs
/// from the end of one call to the start of the next.
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

/// Calls a function once after a delay, on a thread of the event loop.
void CallAfter(boost::asio::io_context& aLoop, Milliseconds aDelay,
               std::function<void()> aFunction);

} // namespace dandelionslip
