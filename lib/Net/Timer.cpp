// Timers on Asio and RuntimeClock.
#include "dandelionslip/Net/Timer.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>

namespace dandelionslip {

namespace asio = boost::asio;

using AsioTimer = asio::basic_waitable_timer<RuntimeClock>;

struct RepeatingTimer::State : std::enable_shared_from_this<RepeatingTimer::State>
{
  State(asio::io_context& aLoop, Milliseconds aInterval, std::function<void()> aFunction)
    : mTimer(asio::make_strand(aLoop))
    , mInterval(aInterval)
    , mFunction(std::move(aFunction))
  {
  }

  void Wait()
  {
    mTimer.expires_after(mInterval);
    mTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->mStopped) {
        self->mFunction();
        self->Wait();
      }
    });
  }

  AsioTimer mTimer;
  Milliseconds mInterval;
  std::function<void()> mFunction;
  std::atomic<bool> mStopped{false};
};

RepeatingTimer::RepeatingTimer(asio::io_context& aLoop, Milliseconds aInterval,
                               std::function<void()> aFunction)
  : mState(std::make_shared<State>(aLoop, aInterval, std::move(aFunction)))
{
  mState->Wait();
}

RepeatingTimer::~RepeatingTimer()
{
  mState->mStopped = true;
  asio::post(mState->mTimer.get_executor(), [state = mState] { state->mTimer.cancel(); });
}

void CallAfter(asio::io_context& aLoop, Milliseconds aDelay, std::function<void()> aFunction)
{
  auto timer = std::make_shared<AsioTimer>(aLoop, aDelay);
  timer->async_wait(
    [timer, function = std::move(aFunction)](const boost::system::error_code& aError) {
      if (!aError) {
        function();
      }
    });
}

} // namespace dandelionslip
