// Blocking requests to the control replicas.
#include "dandelionslip/Daemon/OperatorClient.h"

#include "Http2ClientPool.h"

#include "dandelionslip/Model/Announcement.h"
#include "dandelionslip/Net/Timer.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace dandelionslip {

namespace {

constexpr Milliseconds kRetryInterval{100};

} // namespace

struct OperatorClient::State
{
  boost::asio::io_context mLoop;
  Http2ClientPool mClients{mLoop};
};

OperatorClient::OperatorClient(std::vector<std::string> aEndpoints)
  : mEndpoints(std::move(aEndpoints))
  , mState(std::make_unique<State>())
{
}

OperatorClient::~OperatorClient() = default;

Result<Bytes> OperatorClient::Post(const std::string& aEndpoint, const std::string& aPath,
                                   Bytes aBody, Milliseconds aTimeout)
{
  std::optional<Result<Bytes>> result;
  mState->mClients.Post(aEndpoint, aPath, std::move(aBody), aTimeout,
                        [&](Result<Bytes> aResult) { result.emplace(std::move(aResult)); });
  mState->mLoop.restart();
  while (!result && mState->mLoop.run_one() > 0) {
  }
  return std::move(*result);
}

CommandAnswer OperatorClient::Send(const Command& aCommand, Milliseconds aTimeout)
{
  return SendUntilDecided("/v1/command", ToCbor(aCommand), aTimeout);
}

CommandAnswer OperatorClient::Send(const RaftMembershipChange& aChange, Milliseconds aTimeout)
{
  return SendUntilDecided("/v1/replica", ToCbor(aChange), aTimeout);
}

CommandAnswer OperatorClient::SendUntilDecided(const std::string& aPath, const Bytes& aBody,
                                               Milliseconds aTimeout)
{
  const TimePoint deadline = RuntimeClock::now() + aTimeout;
  bool maybeAppended = false;
  std::string detail = "no control replica answered";
  for (std::size_t i = 0; RuntimeClock::now() < deadline; ++i) {
    const std::string& endpoint = mEndpoints[i % mEndpoints.size()];
    const auto remaining = std::chrono::ceil<Milliseconds>(deadline - RuntimeClock::now());
    const auto body = Post(endpoint, aPath, aBody, remaining);
    const auto answer = body ? FromCbor<CommandAnswer>(body.value(), endpoint)
                             : Result<CommandAnswer>(body.as_failure());
    if (!answer) {
      detail = answer.error().Message();
      maybeAppended = maybeAppended || answer.error().mCode != ErrorCode::Unavailable;
    } else if (answer.value().mOutcome == CommandOutcome::NotApplied) {
      detail = answer.value().mDetail;
    } else if (answer.value().mOutcome == CommandOutcome::OutcomeUnknown) {
      detail = answer.value().mDetail;
      maybeAppended = true;
    } else {
      return answer.value();
    }
    if (i % mEndpoints.size() == mEndpoints.size() - 1) {
      bool elapsed = false;
      CallAfter(mState->mLoop, kRetryInterval, [&elapsed] { elapsed = true; });
      mState->mLoop.restart();
      while (!elapsed && mState->mLoop.run_one() > 0) {
      }
    }
  }
  return {maybeAppended ? CommandOutcome::OutcomeUnknown : CommandOutcome::NotApplied, 0, detail};
}

Json OperatorClient::Status(Milliseconds aTimeout)
{
  Json status = Json::object();
  for (const auto& endpoint : mEndpoints) {
    const auto body = Post(endpoint, "/v1/status", {}, aTimeout);
    const auto decoded =
      body ? DecodeCbor(body.value(), endpoint) : Result<Json>(body.as_failure());
    status[endpoint] = decoded ? decoded.value() : Json{{"error", decoded.error().Message()}};
  }
  return status;
}

Result<Configuration> OperatorClient::FetchConfiguration(Milliseconds aTimeout)
{
  Error error{ErrorCode::Unavailable, "control.fetch", "", "no replica confirms its state"};
  for (const auto& endpoint : mEndpoints) {
    const auto body = Post(endpoint, "/v1/state", {}, aTimeout);
    const auto answer = body ? FromCbor<AnnouncementAnswer>(body.value(), endpoint)
                             : Result<AnnouncementAnswer>(body.as_failure());
    if (answer && answer.value().mConfirmed && answer.value().mConfiguration) {
      return *answer.value().mConfiguration;
    }
    if (!answer) {
      error = answer.error();
    }
  }
  return boost::outcome_v2::failure(std::move(error));
}

} // namespace dandelionslip
