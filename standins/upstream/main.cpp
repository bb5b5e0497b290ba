// Stand-in upstream: quote sessions and feeds over UDP, requests over HTTP/2. For demos and tests.
#include "UpstreamModel.h"

#include "dandelionslip/Daemon/CommandLine.h"
#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Net/Http2Server.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Net/UdpSocket.h"
#include "dandelionslip/Support/Log.h"

#include <iostream>
#include <map>
#include <mutex>
#include <sstream>

namespace dandelionslip {

namespace {

constexpr char kUsage[] = R"(Stand-in upstream for demos and tests.

Usage:
  standin-upstream --name=NAME --udp=ENDPOINT --http=ENDPOINT [--slots=N] [--connections=N]
                   [--cold-slots=N] [--cold-connections=N] [--service-ms=N] [--warm-up-ms=N]
  standin-upstream (-h | --help)

Options:
  --name=NAME            Name shown in answers.
  --udp=ENDPOINT         Numeric address:port for sessions.
  --http=ENDPOINT        Numeric address:port for requests and for /stats, /history, /health and
                         /cold.
  --slots=N              Requests served at once [default: 4].
  --connections=N        Sessions held at once [default: 2000].
  --cold-slots=N         Requests that it can serve at once when cold [default: 1].
  --cold-connections=N   Sessions that it can hold when cold [default: 100].
  --service-ms=N         Time to serve a request when warm [default: 20].
  --warm-up-ms=N         Time from cold to full capacity [default: 5000].
)";

// A session without a datagram for this time is removed.
constexpr std::chrono::seconds kSessionIdleTimeout{30};

struct Session
{
  std::uint64_t mTag = 0;
  std::uint64_t mMessages = 0;
  std::uint64_t mTicks = 0;
  Milliseconds mFeedInterval{0};
  TimePoint mNextTick;
  TimePoint mLastSeen;
};

class Upstream
{
public:
  Upstream(boost::asio::io_context& aLoop, UpstreamOptions aOptions)
    : mLoop(aLoop)
    , mName(aOptions.mName)
    , mModel(std::move(aOptions), RuntimeClock::now())
  {
  }

  Result<void> Start(const Endpoint& aUdp, const Endpoint& aHttp)
  {
    auto socket = UdpSocket::Bind(
      mLoop, aUdp, [this](auto aBytes, const Endpoint& aFrom) { OnDatagram(aBytes, aFrom); });
    if (!socket) {
      return socket.as_failure();
    }
    mSocket = std::move(socket.value());
    auto server =
      Http2Server::Listen(mLoop, aHttp, [this](auto aExchange) { OnRequest(aExchange); });
    if (!server) {
      return server.as_failure();
    }
    mServer = std::move(server.value());
    constexpr Milliseconds kFeedResolution{5};
    mTimer = std::make_unique<RepeatingTimer>(mLoop, kFeedResolution,
                                              [this] { RemoveIdleSessionsAndSendTicks(); });
    return Ok();
  }

private:
  void Reply(const Session& aSession, const std::string& aText, const Endpoint& aTo)
  {
    CallerDatagram datagram;
    datagram.mSessionTag = aSession.mTag;
    datagram.mPayload = {reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size()};
    mSocket->Send(EncodeCallerDatagram(datagram), aTo);
  }

  void OnDatagram(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom)
  {
    const std::lock_guard lock(mMutex);
    const auto datagram = DecodeCallerDatagram(aBytes);
    if (!datagram) {
      return;
    }
    const auto& payload = datagram.value().mPayload;
    std::istringstream text(std::string(payload.begin(), payload.end()));
    std::string verb;
    std::uint64_t number = 0;
    text >> verb >> number;
    const TimePoint now = RuntimeClock::now();
    if (datagram.value().mKind == CallerDatagramKind::Close) {
      mSessions.erase(aFrom);
      mModel.SetSessions(mSessions.size(), now);
      return;
    }
    Session& session = mSessions[aFrom];
    if (session.mTag != datagram.value().mSessionTag) {
      session = Session{};
      session.mTag = datagram.value().mSessionTag;
    }
    session.mLastSeen = now;
    mModel.SetSessions(mSessions.size(), now);
    if (verb == "feed") {
      session.mFeedInterval = Milliseconds(number);
      session.mNextTick = now;
      return;
    }
    ++session.mMessages;
    Reply(session,
          "quote " + std::to_string(number) + " " + mName + " " + std::to_string(session.mMessages),
          aFrom);
  }

  void RemoveIdleSessionsAndSendTicks()
  {
    const std::lock_guard lock(mMutex);
    const TimePoint now = RuntimeClock::now();
    std::erase_if(mSessions, [&](const auto& aItem) {
      return now - aItem.second.mLastSeen > kSessionIdleTimeout;
    });
    mModel.SetSessions(mSessions.size(), now);
    for (auto& [peer, session] : mSessions) {
      if (session.mFeedInterval.count() > 0 && session.mNextTick <= now) {
        session.mNextTick += session.mFeedInterval;
        Reply(session, "tick " + std::to_string(++session.mTicks) + " " + mName, peer);
      }
    }
  }

  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const std::lock_guard lock(mMutex);
    const std::string& path = aExchange->Request().mPath;
    if (path == "/stats") {
      RespondText(aExchange, ToJson(mModel.Statistics()).dump());
    } else if (path == "/history") {
      RespondText(aExchange, ToJson(mModel.History()).dump());
    } else if (path == "/cold") {
      mModel.ResetToCold(RuntimeClock::now());
      RespondText(aExchange, "ok");
    } else if (path == "/health") {
      RespondText(aExchange, "ok");
    } else {
      StartRun(aExchange);
    }
  }

  static void RespondText(const std::shared_ptr<HttpExchange>& aExchange, const std::string& aText)
  {
    HttpResponse response;
    response.mBody.assign(aText.begin(), aText.end());
    aExchange->Respond(std::move(response));
  }

  void StartRun(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const TimePoint now = RuntimeClock::now();
    Run run;
    const auto id = FindHeader(aExchange->Request().mHeaders, "dslip-request-id");
    if (!mModel.StartRun(std::string(id), now, run)) {
      HttpResponse response;
      response.mStatus = 503;
      response.mHeaders.push_back({"dslip-not-run", "shed"});
      aExchange->Respond(std::move(response));
      return;
    }
    CallAfter(mLoop, mModel.ServiceTime(now), [this, aExchange, run] {
      {
        const std::lock_guard lock(mMutex);
        mModel.FinishRun();
      }
      HttpResponse response;
      const auto& body = aExchange->Request().mBody;
      std::string text = "run " + std::to_string(run.mNumber) + " " + run.mUpstream + " ";
      response.mBody.assign(text.begin(), text.end());
      response.mBody.insert(response.mBody.end(), body.begin(), body.end());
      response.mHeaders.push_back({"dslip-run", run.mUpstream + "/" + std::to_string(run.mNumber)});
      aExchange->Respond(std::move(response));
    });
  }

  boost::asio::io_context& mLoop;
  std::string mName;
  std::mutex mMutex;
  UpstreamModel mModel;
  std::map<Endpoint, Session> mSessions;
  std::unique_ptr<UdpSocket> mSocket;
  std::unique_ptr<Http2Server> mServer;
  std::unique_ptr<RepeatingTimer> mTimer;
};

std::uint32_t Number(const ProgramArguments& aArguments, const std::string& aKey)
{
  return static_cast<std::uint32_t>(aArguments.at(aKey).asLong());
}

int RunUpstream(const ProgramArguments& aArguments)
{
  const auto udp = Endpoint::Parse(aArguments.at("--udp").asString());
  const auto http = Endpoint::Parse(aArguments.at("--http").asString());
  if (!udp || !http) {
    std::cerr << (udp ? http.error() : udp.error()).Message() << "\n";
    return 2;
  }
  UpstreamOptions options;
  options.mName = aArguments.at("--name").asString();
  options.mSlots = Number(aArguments, "--slots");
  options.mConnections = Number(aArguments, "--connections");
  options.mColdSlots = Number(aArguments, "--cold-slots");
  options.mColdConnections = Number(aArguments, "--cold-connections");
  options.mServiceTime = Milliseconds(aArguments.at("--service-ms").asLong());
  options.mWarmUpTime = Milliseconds(aArguments.at("--warm-up-ms").asLong());
  InitialiseLog("standin-upstream", options.mName, LogLevel::Info);
  WorkerPool pool(1);
  Upstream upstream(pool.Loop(), options);
  if (const auto started = upstream.Start(udp.value(), http.value()); !started) {
    std::cerr << started.error().Message() << "\n";
    return 1;
  }
  pool.OnStop([&pool] { pool.Exit(0); });
  return pool.Run();
}

} // namespace

} // namespace dandelionslip

int main(int aArgc, char** aArgv)
{
  using namespace dandelionslip;
  const auto parsed = ParseCommandLine(kUsage, "standin-upstream", aArgc, aArgv);
  if (const int* exitCode = std::get_if<int>(&parsed)) {
    return *exitCode;
  }
  return RunUpstream(std::get<ProgramArguments>(parsed));
}
