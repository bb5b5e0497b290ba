// Stand-in callers: sending of requests, resends and evaluation of replies.
#include "RequestCallers.h"

#include "dandelionslip/Request/RequestId.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr Milliseconds kSendInterval{10};
constexpr Milliseconds kResendDelay{100};

} // namespace

RequestCallers::RequestCallers(boost::asio::io_context& aLoop, RequestCallerOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
  for (const auto& balancer : mOptions.mBalancers) {
    mClients.push_back(std::make_unique<Http2Client>(mLoop, balancer));
  }
}

RequestCallers::~RequestCallers() = default;

void RequestCallers::Start()
{
  mTimer = std::make_unique<RepeatingTimer>(mLoop, kSendInterval, [this] { SendDue(); });
}

void RequestCallers::Stop()
{
  const std::lock_guard lock(mMutex);
  mStopping = true;
}

bool RequestCallers::Idle() const
{
  const std::lock_guard lock(mMutex);
  return mInFlight == 0;
}

std::vector<RequestResult> RequestCallers::History() const
{
  const std::lock_guard lock(mMutex);
  return mHistory;
}

std::vector<double> RequestCallers::Latencies() const
{
  const std::lock_guard lock(mMutex);
  return mLatencies;
}

std::map<std::string, std::uint64_t> RequestCallers::Reasons() const
{
  const std::lock_guard lock(mMutex);
  return mReasons;
}

void RequestCallers::SendDue()
{
  std::vector<std::shared_ptr<PendingRequest>> due;
  {
    const std::lock_guard lock(mMutex);
    if (mStopping) {
      return;
    }
    mDueRequests += mOptions.mPerSecond * std::chrono::duration<double>(kSendInterval).count();
    for (; mDueRequests >= 1 && mInFlight < mOptions.mMaxInFlight; mDueRequests -= 1) {
      auto pending = std::make_shared<PendingRequest>();
      pending->mId = RequestId::Make(WallClockMs(), mRandom).ToString();
      pending->mBody = "payload of " + pending->mId;
      pending->mStarted = RuntimeClock::now();
      pending->mDeadline = pending->mStarted + mOptions.mDeadline;
      due.push_back(std::move(pending));
      ++mInFlight;
    }
    mDueRequests = std::min(mDueRequests, 1.0);
  }
  for (const auto& pending : due) {
    Send(pending);
  }
}

void RequestCallers::Send(const std::shared_ptr<PendingRequest>& aPending)
{
  std::size_t index = 0;
  {
    const std::lock_guard lock(mMutex);
    index = mRandom.Below(mClients.size());
    ++aPending->mAttempt;
  }
  const auto left = std::max(
    std::chrono::floor<Milliseconds>(aPending->mDeadline - RuntimeClock::now()), Milliseconds(1));
  HttpRequest request;
  request.mPath = "/run";
  request.mHeaders = {{"dslip-request-id", aPending->mId},
                      {"dslip-attempt", std::to_string(aPending->mAttempt)},
                      {"dslip-deadline-ms", std::to_string(left.count())}};
  request.mBody.assign(aPending->mBody.begin(), aPending->mBody.end());
  mClients[index]->Send(std::move(request), left,
                        [this, aPending](auto aResult) { OnResult(aPending, std::move(aResult)); });
}

void RequestCallers::OnResult(const std::shared_ptr<PendingRequest>& aPending,
                              Result<HttpResponse> aResult)
{
  RequestResult result;
  result.mRequestId = aPending->mId;
  std::string reason;
  if (aResult) {
    const auto& headers = aResult.value().mHeaders;
    result.mOutcome = FindHeader(headers, "dslip-outcome");
    reason = FindHeader(headers, "dslip-reason");
  } else {
    // Unavailable: the server did not process this attempt. The request has not run unless the
    // previous attempt may have run it.
    const bool notRun = aResult.error().mCode == ErrorCode::Unavailable && !aPending->mMayHaveRun;
    result.mOutcome = notRun ? "not_run" : "unknown";
    reason = std::string("link_") + std::string(ToString(aResult.error().mCode));
  }
  if (result.mOutcome == "answered") {
    const auto& body = aResult.value().mBody;
    const std::string text(body.begin(), body.end());
    // The answer of the upstream is "run NUMBER UPSTREAM BODY".
    const auto first = text.find(' ');
    const auto second = text.find(' ', first + 1);
    const auto third = text.find(' ', second + 1);
    result.mIntact = third != std::string::npos && text.substr(third + 1) == aPending->mBody;
    result.mRun = text.substr(second + 1, third - second - 1) + "/" +
                  text.substr(first + 1, second - first - 1);
    Finish(aPending, result);
    return;
  }
  aPending->mMayHaveRun = result.mOutcome == "unknown";
  {
    const std::lock_guard lock(mMutex);
    ++mReasons[result.mOutcome + " " + reason];
  }
  const bool sendAgain = aPending->mAttempt < mOptions.mMaxAttempts &&
                         RuntimeClock::now() + kResendDelay < aPending->mDeadline;
  if (!sendAgain) {
    Finish(aPending, result);
    return;
  }
  CallAfter(mLoop, kResendDelay, [this, aPending] { Send(aPending); });
}

void RequestCallers::Finish(const std::shared_ptr<PendingRequest>& aPending, RequestResult aResult)
{
  const std::lock_guard lock(mMutex);
  --mInFlight;
  if (aResult.mOutcome == "answered") {
    const std::chrono::duration<double, std::milli> latency =
      RuntimeClock::now() - aPending->mStarted;
    mLatencies.push_back(latency.count());
  }
  mHistory.push_back(std::move(aResult));
}

} // namespace dandelionslip
