// Stand-in callers that keep flows open over UDP and detect broken flows. A flow is one session of
// the stand-in upstream. To `quote N` the upstream answers `quote N UPSTREAM COUNT`, where COUNT is
// the number of quote messages in the session. After `feed MS` the upstream sends `tick N UPSTREAM`
// every MS milliseconds.
#pragma once

#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Net/UdpSocket.h"
#include "dandelionslip/Support/Random.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dandelionslip {

/// Behaviour of the callers.
struct FlowCallerOptions
{
  std::vector<Endpoint> mBalancers; ///< Each datagram goes to one of them at random.
  Endpoint mLocal;                  ///< Local address of the callers; the port must be 0.
  std::size_t mFlows = 100;
  Milliseconds mInterval{200};     ///< Time between two quote messages of a flow.
  Milliseconds mFeedInterval{0};   ///< Interval of the feed requested in every flow; 0 for none.
  Milliseconds mBreakAfter{5'000}; ///< A flow that receives nothing for this time is broken.
  Milliseconds mOpenOver{1'000};   ///< Time over which the flows are opened evenly.
  std::uint64_t mSeed = 1;
};

/// Counts of all flows.
struct FlowStatistics
{
  std::uint64_t mOpened = 0;
  std::uint64_t mEstablished = 0; ///< Open flows that have received an answer.
  std::uint64_t mAnswers = 0;
  std::uint64_t mTicks = 0;   ///< Feed messages received.
  std::uint64_t mBroken = 0;  ///< Answered by another upstream, lost by the upstream or silent.
  std::uint64_t mGivenUp = 0; ///< Ended because the data centre was taken out.
  std::uint64_t mFromOtherService = 0;                   ///< Answers from another service.
  std::map<std::string, std::uint64_t> mBrokenBySymptom; ///< Broken flows by symptom and upstream.
  std::map<std::string, std::uint64_t> mRefusals;        ///< Refused datagrams by reason.
  std::map<std::string, std::uint64_t> mPerUpstream;     ///< Established flows by upstream.
};

template <typename V>
void DescribeFields(V& aVisitor, FlowStatistics& aValue)
{
  aVisitor.Field("opened", aValue.mOpened);
  aVisitor.Field("established", aValue.mEstablished);
  aVisitor.Field("answers", aValue.mAnswers);
  aVisitor.Field("ticks", aValue.mTicks);
  aVisitor.Field("broken", aValue.mBroken);
  aVisitor.Field("given_up", aValue.mGivenUp);
  aVisitor.Field("foreign", aValue.mFromOtherService);
  aVisitor.Field("breaks", aValue.mBrokenBySymptom);
  aVisitor.Field("refusals", aValue.mRefusals);
  aVisitor.Field("per_upstream", aValue.mPerUpstream);
}

/// A set of callers on one event loop.
class FlowCallers
{
public:
  /// aPrefix: how the names of the service's upstreams begin.
  FlowCallers(boost::asio::io_context& aLoop, FlowCallerOptions aOptions, std::string aPrefix);
  ~FlowCallers();

  /// Opens the sockets and starts sending.
  Result<void> Start();

  /// Closes all flows and stops sending.
  void Stop();

  FlowStatistics Statistics() const;

private:
  struct Flow
  {
    std::unique_ptr<UdpSocket> mSocket;
    std::uint64_t mSessionTag = 0;
    std::uint64_t mSequence = 0;
    std::string mUpstream;        ///< Empty until the first answer.
    std::uint64_t mLastCount = 0; ///< Highest message count reported by the upstream.
    TimePoint mLastAnswer;
    TimePoint mNextSend;
  };

  void SendDueQuotes();
  void SendQuote(Flow& aFlow);
  void SendText(Flow& aFlow, CallerDatagramKind aKind, const std::string& aText);
  void OnDatagram(Flow& aFlow, std::span<const std::uint8_t> aBytes);
  void OnAnswer(Flow& aFlow, std::string_view aText);
  void OnRefused(Flow& aFlow, RefusalReason aReason, Milliseconds aRetryAfter);
  void OnBroken(Flow& aFlow, const std::string& aSymptom);
  void Reopen(Flow& aFlow, Milliseconds aDelay);

  boost::asio::io_context& mLoop;
  FlowCallerOptions mOptions;
  std::string mPrefix;
  mutable std::mutex mMutex;
  Random mRandom;
  std::vector<std::unique_ptr<Flow>> mFlows;
  FlowStatistics mStatistics;
  std::unique_ptr<RepeatingTimer> mTimer;
  bool mStopping = false;
};

} // namespace dandelionslip
