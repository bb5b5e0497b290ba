// Stand-in callers that send requests over HTTP/2 and record the outcomes.
#pragma once

#include "dandelionslip/Net/Http2Client.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/Random.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dandelionslip {

/// Behaviour of the request callers.
struct RequestCallerOptions
{
  std::vector<Endpoint> mBalancers;
  double mPerSecond = 20;
  std::size_t mMaxInFlight = 64;
  std::uint32_t mMaxAttempts = 4; ///< Maximum number of attempts of a request.
  Milliseconds mDeadline{5'000};
  std::uint64_t mSeed = 1;
};

/// Final outcome of a request as reported to its caller.
struct RequestResult
{
  std::string mRequestId;
  std::string mOutcome; ///< answered, not_run, unknown or cancelled.
  std::string mRun;     ///< The run that the answer names, as "upstream/number".
  bool mIntact = true;  ///< Whether the answer repeats the body of the request.
};

template <typename V>
void DescribeFields(V& aVisitor, RequestResult& aValue)
{
  aVisitor.Field("request_id", aValue.mRequestId);
  aVisitor.Field("outcome", aValue.mOutcome);
  aVisitor.Field("run", aValue.mRun);
  aVisitor.Field("intact", aValue.mIntact);
}

/// Sends requests at a steady rate. A request without an answer is sent again with the same id and
/// the next attempt number until it is answered, its attempts are used up or its deadline is near.
class RequestCallers
{
public:
  RequestCallers(boost::asio::io_context& aLoop, RequestCallerOptions aOptions);
  ~RequestCallers();

  void Start();
  /// Starts no new requests. Those in flight end by their deadlines.
  void Stop();
  bool Idle() const;

  std::vector<RequestResult> History() const;
  /// Latencies of answered requests in milliseconds.
  std::vector<double> Latencies() const;
  /// Attempts without an answer, counted by outcome and reason.
  std::map<std::string, std::uint64_t> Reasons() const;

private:
  struct PendingRequest
  {
    std::string mId;
    std::string mBody;
    std::uint32_t mAttempt = 0;
    bool mMayHaveRun = false; ///< The previous attempt's outcome is unknown.
    TimePoint mStarted;
    TimePoint mDeadline;
  };

  void SendDue();
  void Send(const std::shared_ptr<PendingRequest>& aPending);
  void OnResult(const std::shared_ptr<PendingRequest>& aPending, Result<HttpResponse> aResult);
  void Finish(const std::shared_ptr<PendingRequest>& aPending, RequestResult aResult);

  boost::asio::io_context& mLoop;
  RequestCallerOptions mOptions;
  mutable std::mutex mMutex;
  Random mRandom;
  std::vector<std::unique_ptr<Http2Client>> mClients;
  std::vector<RequestResult> mHistory;
  std::vector<double> mLatencies;
  std::map<std::string, std::uint64_t> mReasons;
  std::size_t mInFlight = 0;
  /// Requests due to be started. At most 1 is carried over to the next interval.
  double mDueRequests = 0;
  bool mStopping = false;
  std::unique_ptr<RepeatingTimer> mTimer;
};

} // namespace dandelionslip
