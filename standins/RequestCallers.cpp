// Requests of the stand-in callers.
#include "RequestCallers.h"

#include "dandelionslip/Request/RequestId.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr Milliseconds kResolution{10};
constexpr Milliseconds kResendPause{100};

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
  mTimer = std::make_unique<RepeatingTimer>(mLoop, kResolution, [this] { Tick(); });
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

std::vector<RequestRecordSeen> RequestCallers::History() const
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

void RequestCallers::Tick()
{
  std::vector<std::shared_ptr<Open>> due;
  {
    const std::lock_guard lock(mMutex);
    if (mStopping) {
      return;
    }
    mCredit += mOptions.mPerSecond * std::chrono::duration<double>(kResolution).count();
    for (; mCredit >= 1 && mInFlight < mOptions.mMaxInFlight; mCredit -= 1) {
      auto open = std::make_shared<Open>();
      open->mId = RequestId::Make(WallClockMs(), mRandom).ToString();
      open->mBody = "payload of " + open->mId;
      open->mStarted = RuntimeClock::now();
      open->mDeadline = open->mStarted + mOptions.mDeadline;
      due.push_back(std::move(open));
      ++mInFlight;
    }
    mCredit = std::min(mCredit, 1.0);
  }
  for (const auto& open : due) {
    Send(open);
  }
}

void RequestCallers::Send(const std::shared_ptr<Open>& aOpen)
{
  std::size_t index = 0;
  {
    const std::lock_guard lock(mMutex);
    index = mRandom.Below(mClients.size());
    ++aOpen->mAttempt;
  }
  const auto left = std::max(
    std::chrono::floor<Milliseconds>(aOpen->mDeadline - RuntimeClock::now()), Milliseconds(1));
  HttpRequest request;
  request.mPath = "/run";
  request.mHeaders = {{"dslip-request-id", aOpen->mId},
                      {"dslip-attempt", std::to_string(aOpen->mAttempt)},
                      {"dslip-deadline-ms", std::to_string(left.count())}};
  request.mBody.assign(aOpen->mBody.begin(), aOpen->mBody.end());
  mClients[index]->Send(std::move(request), left,
                        [this, aOpen](auto aResult) { OnResult(aOpen, std::move(aResult)); });
}

void RequestCallers::OnResult(const std::shared_ptr<Open>& aOpen, Result<HttpResponse> aResult)
{
  RequestRecordSeen seen;
  seen.mRequestId = aOpen->mId;
  std::string reason;
  if (aResult) {
    const auto& headers = aResult.value().mHeaders;
    seen.mOutcome = FindHeader(headers, "dslip-outcome");
    reason = FindHeader(headers, "dslip-reason");
  } else {
    // A connection that was never made shows that nothing was sent, but only for this attempt.
    const bool notSent = aResult.error().mCode == ErrorCode::Unavailable && !aOpen->mMayHaveRun;
    seen.mOutcome = notSent ? "not_run" : "unknown";
    reason = std::string("link_") + std::string(ToString(aResult.error().mCode));
  }
  if (seen.mOutcome == "answered") {
    const auto& body = aResult.value().mBody;
    const std::string text(body.begin(), body.end());
    // The upstream answers "run NUMBER UPSTREAM BODY".
    const auto first = text.find(' ');
    const auto second = text.find(' ', first + 1);
    const auto third = text.find(' ', second + 1);
    seen.mIntact = third != std::string::npos && text.substr(third + 1) == aOpen->mBody;
    seen.mRun = text.substr(second + 1, third - second - 1) + "/" +
                text.substr(first + 1, second - first - 1);
    Finish(aOpen, seen);
    return;
  }
  aOpen->mMayHaveRun = seen.mOutcome == "unknown";
  {
    const std::lock_guard lock(mMutex);
    ++mReasons[seen.mOutcome + " " + reason];
  }
  const bool again =
    aOpen->mAttempt < mOptions.mTries && RuntimeClock::now() + kResendPause < aOpen->mDeadline;
  if (!again) {
    Finish(aOpen, seen);
    return;
  }
  CallAfter(mLoop, kResendPause, [this, aOpen] { Send(aOpen); });
}

void RequestCallers::Finish(const std::shared_ptr<Open>& aOpen, RequestRecordSeen aSeen)
{
  const std::lock_guard lock(mMutex);
  --mInFlight;
  if (aSeen.mOutcome == "answered") {
    const std::chrono::duration<double, std::milli> latency = RuntimeClock::now() - aOpen->mStarted;
    mLatencies.push_back(latency.count());
  }
  mHistory.push_back(std::move(aSeen));
}

} // namespace dandelionslip
