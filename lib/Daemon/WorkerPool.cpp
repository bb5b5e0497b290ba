// Worker threads that run one Asio event loop.
#include "dandelionslip/Daemon/WorkerPool.h"

#include "dandelionslip/Support/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

namespace dandelionslip {

namespace asio = boost::asio;

struct WorkerPool::State
{
  explicit State(std::size_t aThreads)
    : mThreads(aThreads)
    , mLoop(static_cast<int>(aThreads))
    , mGuard(asio::make_work_guard(mLoop))
    , mStopSignals(mLoop, SIGTERM, SIGINT)
    , mReloadSignals(mLoop, SIGHUP)
  {
  }

  void WaitForStopSignal()
  {
    mStopSignals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      LogEvent(LogLevel::Info, "stop_requested").With("signal", aSignal);
      if (mOnStop) {
        mOnStop();
      } else {
        mLoop.stop();
      }
    });
  }

  void WaitForReloadSignal()
  {
    mReloadSignals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      LogEvent(LogLevel::Info, "reload_requested").With("signal", aSignal);
      if (mOnReload) {
        mOnReload();
      }
      WaitForReloadSignal();
    });
  }

  std::size_t mThreads;
  asio::io_context mLoop;
  asio::executor_work_guard<asio::io_context::executor_type> mGuard;
  asio::signal_set mStopSignals;
  asio::signal_set mReloadSignals;
  std::function<void()> mOnReload;
  std::function<void()> mOnStop;
  std::atomic<int> mExitCode{0};
};

WorkerPool::WorkerPool(std::size_t aThreads)
  : mState(std::make_unique<State>(aThreads))
{
}

WorkerPool::~WorkerPool() = default;

asio::io_context& WorkerPool::Loop()
{
  return mState->mLoop;
}

void WorkerPool::OnStop(std::function<void()> aFunction)
{
  mState->mOnStop = std::move(aFunction);
}

void WorkerPool::OnReload(std::function<void()> aFunction)
{
  mState->mOnReload = std::move(aFunction);
}

void WorkerPool::Exit(int aCode)
{
  mState->mExitCode = aCode;
  mState->mLoop.stop();
}

int WorkerPool::Run()
{
  mState->WaitForStopSignal();
  mState->WaitForReloadSignal();
  std::vector<std::thread> threads;
  for (std::size_t i = 1; i < mState->mThreads; ++i) {
    threads.emplace_back([this] { mState->mLoop.run(); });
  }
  mState->mLoop.run();
  for (auto& thread : threads) {
    thread.join();
  }
  return mState->mExitCode;
}

} // namespace dandelionslip
