// Stand-in callers that send requests over HTTP/2 and record what they were told.
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

/// How the request callers behave.
struct RequestCallerOptions
{
  std::vector<Endpoint> mBalancers;
  double mPerSecond = 20;
  std::size_t mMaxInFlight = 64;
  std::uint32_t mTries = 4; ///< Resends of one id when its outcome is open.
  Milliseconds mDeadline{5'000};
  std::uint64_t mSeed = 1;
};

/// What a caller was told about one request in the end.
struct RequestRecordSeen
{
  std::string mRequestId;
  std::string mOutcome; ///< answered, not_run, unknown or cancelled.
  std::string mRun;     ///< Run named by the answer, as "upstream/number".
  bool mIntact = true;  ///< The answer repeats the request's body.
};

template <typename V>
void DescribeFields(V& aVisitor, RequestRecordSeen& aValue)
{
  aVisitor.Field("request_id", aValue.mRequestId);
  aVisitor.Field("outcome", aValue.mOutcome);
  aVisitor.Field("run", aValue.mRun);
  aVisitor.Field("intact", aValue.mIntact);
}

/// Sends requests at a steady rate. A resend carries the same id and a higher attempt.
class RequestCallers
{
public:
  RequestCallers(boost::asio::io_context& aLoop, RequestCallerOptions aOptions);
  ~RequestCallers();

  void Start();
  /// Sends nothing new; running requests end by their deadlines.
  void Stop();
  bool Idle() const;

  std::vector<RequestRecordSeen> History() const;
  /// Latencies of answered requests in milliseconds.
  std::vector<double> Latencies() const;
  /// Refusals and open outcomes by reason.
  std::map<std::string, std::uint64_t> Reasons() const;

private:
  struct Open
  {
    std::string mId;
    std::string mBody;
    std::uint32_t mAttempt = 0;
    bool mMayHaveRun = false; ///< An earlier attempt's outcome is open.
    TimePoint mStarted;
    TimePoint mDeadline;
  };

  void Tick();
  void Send(const std::shared_ptr<Open>& aOpen);
  void OnResult(const std::shared_ptr<Open>& aOpen, Result<HttpResponse> aResult);
  void Finish(const std::shared_ptr<Open>& aOpen, RequestRecordSeen aSeen);

  boost::asio::io_context& mLoop;
  RequestCallerOptions mOptions;
  mutable std::mutex mMutex;
  Random mRandom;
  std::vector<std::unique_ptr<Http2Client>> mClients;
  std::vector<RequestRecordSeen> mHistory;
  std::vector<double> mLatencies;
  std::map<std::string, std::uint64_t> mReasons;
  std::size_t mInFlight = 0;
  double mCredit = 0;
  bool mStopping = false;
  std::unique_ptr<RepeatingTimer> mTimer;
};

} // namespace dandelionslip
