// Stand-in callers: sending, evaluation of answers and detection of broken flows.
#include "FlowCallers.h"

#include <sstream>

namespace dandelionslip {

FlowCallers::FlowCallers(boost::asio::io_context& aLoop, FlowCallerOptions aOptions,
                         std::string aPrefix)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mPrefix(std::move(aPrefix))
  , mRandom(mOptions.mSeed)
{
}

FlowCallers::~FlowCallers() = default;

Result<void> FlowCallers::Start()
{
  const std::lock_guard lock(mMutex);
  const TimePoint now = RuntimeClock::now();
  for (std::size_t i = 0; i < mOptions.mFlows; ++i) {
    auto flow = std::make_unique<Flow>();
    Flow* raw = flow.get();
    auto socket =
      UdpSocket::Bind(mLoop, mOptions.mLocal,
                      [this, raw](auto aBytes, const Endpoint&) { OnDatagram(*raw, aBytes); });
    if (!socket) {
      return socket.as_failure();
    }
    flow->mSocket = std::move(socket.value());
    flow->mSessionTag = mRandom.Next();
    flow->mLastAnswer = now;
    flow->mNextSend = now + mOptions.mOpenOver * i / mOptions.mFlows;
    mFlows.push_back(std::move(flow));
  }
  constexpr Milliseconds kResolution{10};
  mTimer = std::make_unique<RepeatingTimer>(mLoop, kResolution, [this] { SendDueQuotes(); });
  return Ok();
}

void FlowCallers::Stop()
{
  const std::lock_guard lock(mMutex);
  mStopping = true;
  for (auto& flow : mFlows) {
    SendText(*flow, CallerDatagramKind::Close, "bye");
  }
}

FlowStatistics FlowCallers::Statistics() const
{
  const std::lock_guard lock(mMutex);
  FlowStatistics statistics = mStatistics;
  for (const auto& flow : mFlows) {
    if (!flow->mUpstream.empty()) {
      ++statistics.mEstablished;
      ++statistics.mPerUpstream[flow->mUpstream];
    }
  }
  return statistics;
}

void FlowCallers::SendDueQuotes()
{
  const std::lock_guard lock(mMutex);
  const TimePoint now = RuntimeClock::now();
  for (auto& flow : mFlows) {
    if (mStopping || flow->mNextSend > now) {
      continue;
    }
    if (!flow->mUpstream.empty() && now - flow->mLastAnswer > mOptions.mBreakAfter) {
      OnBroken(*flow, "silent");
    }
    SendQuote(*flow);
    flow->mNextSend = now + mOptions.mInterval;
  }
}

void FlowCallers::SendQuote(Flow& aFlow)
{
  const bool opening = aFlow.mUpstream.empty();
  mStatistics.mOpened += opening && aFlow.mSequence == 0 ? 1 : 0;
  SendText(aFlow, opening ? CallerDatagramKind::Open : CallerDatagramKind::Data,
           "quote " + std::to_string(++aFlow.mSequence));
}

void FlowCallers::SendText(Flow& aFlow, CallerDatagramKind aKind, const std::string& aText)
{
  CallerDatagram datagram;
  datagram.mKind = aKind;
  datagram.mSessionTag = aFlow.mSessionTag;
  datagram.mPayload = {reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size()};
  const Bytes bytes = EncodeCallerDatagram(datagram);
  aFlow.mSocket->Send(bytes, mOptions.mBalancers[mRandom.Below(mOptions.mBalancers.size())]);
}

void FlowCallers::OnDatagram(Flow& aFlow, std::span<const std::uint8_t> aBytes)
{
  const std::lock_guard lock(mMutex);
  const auto datagram = DecodeCallerDatagram(aBytes);
  if (!datagram || datagram.value().mSessionTag != aFlow.mSessionTag) {
    return;
  }
  if (datagram.value().mKind == CallerDatagramKind::Refused) {
    OnRefused(aFlow, datagram.value().mReason, datagram.value().mRetryAfter);
    return;
  }
  const auto payload = datagram.value().mPayload;
  OnAnswer(aFlow, {reinterpret_cast<const char*>(payload.data()), payload.size()});
}

void FlowCallers::OnAnswer(Flow& aFlow, std::string_view aText)
{
  std::istringstream text{std::string(aText)};
  std::string verb;
  std::uint64_t number = 0;
  std::string upstream;
  std::uint64_t count = 0;
  text >> verb >> number >> upstream >> count;
  aFlow.mLastAnswer = RuntimeClock::now();
  if (!upstream.starts_with(mPrefix)) {
    ++mStatistics.mFromOtherService;
    return;
  }
  const bool first = aFlow.mUpstream.empty();
  if (!first && upstream != aFlow.mUpstream) {
    OnBroken(aFlow, "moved");
    return;
  }
  aFlow.mUpstream = upstream;
  if (verb == "tick") {
    ++mStatistics.mTicks;
    return;
  }
  ++mStatistics.mAnswers;
  // The upstream reports its count of the session's messages; a lower count shows that it lost the
  // session. Answers may be reordered by a few messages.
  constexpr std::uint64_t kMaxReordering = 5;
  if (count + kMaxReordering < aFlow.mLastCount) {
    OnBroken(aFlow, "session_reset");
    return;
  }
  aFlow.mLastCount = std::max(aFlow.mLastCount, count);
  if (first && mOptions.mFeedInterval.count() > 0) {
    SendText(aFlow, CallerDatagramKind::Data,
             "feed " + std::to_string(mOptions.mFeedInterval.count()));
  }
}

void FlowCallers::OnRefused(Flow& aFlow, RefusalReason aReason, Milliseconds aRetryAfter)
{
  ++mStatistics.mRefusals[std::string(ToString(aReason))];
  if (aFlow.mUpstream.empty()) {
    aFlow.mNextSend = RuntimeClock::now() + std::max(aRetryAfter, mOptions.mInterval);
    return;
  }
  if (aReason == RefusalReason::DataCentreOut) {
    ++mStatistics.mGivenUp;
    Reopen(aFlow, aRetryAfter);
  } else if (aReason == RefusalReason::UnknownFlow) {
    OnBroken(aFlow, "unknown_flow");
  }
}

void FlowCallers::OnBroken(Flow& aFlow, const std::string& aSymptom)
{
  ++mStatistics.mBroken;
  ++mStatistics.mBrokenBySymptom[aSymptom + " " + aFlow.mUpstream];
  Reopen(aFlow, Milliseconds(0));
}

void FlowCallers::Reopen(Flow& aFlow, Milliseconds aDelay)
{
  aFlow.mUpstream.clear();
  aFlow.mLastCount = 0;
  aFlow.mSequence = 0;
  aFlow.mSessionTag = mRandom.Next();
  aFlow.mLastAnswer = RuntimeClock::now();
  aFlow.mNextSend = RuntimeClock::now() + aDelay;
}

} // namespace dandelionslip
