// Tests of a control replica as it is shipped: one real replica with its operators' HTTP calls.
#include "Roles.h"

#include "dandelionslip/Support/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <thread>

#include <unistd.h>

namespace dandelionslip::platform {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kAddress = "127.0.0.1";
constexpr std::uint16_t kOperatorPort = 17'441;
constexpr std::uint16_t kPeerPort = 17'442;
constexpr Milliseconds kLimit{20'000};
constexpr Milliseconds kPause{100};
constexpr int kApplied = 200;
constexpr int kNotApplied = 503;

// The request of an order, without a body.
std::string OrderText(const std::string& aPath)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

class ControlReplicaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlReplicaTest);
  CPPUNIT_TEST(OrdersThatTheNetworkHeldUpDoNotUndoNewerOnes);
  CPPUNIT_TEST(OrdersOfOperatorsThatHaveGivenUpAreNotApplied);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context mLoop;
  std::filesystem::path mFolder =
    std::filesystem::temp_directory_path() / ("control-replica-" + std::to_string(getpid()));
  std::thread mReplica;
  std::atomic<int> mExitCode{-1};

public:
  void setUp() override
  {
    std::filesystem::remove_all(mFolder);
    std::filesystem::create_directories(mFolder);
    NodeFile file;
    file.mNode = "core-1";
    file.mDataCentre = "north";
    file.mAddress = kAddress;
    file.mFirstStart = true;
    file.mPeerPort = kPeerPort;
    file.mControlEndpoint = std::string(kAddress) + ":" + std::to_string(kOperatorPort);
    file.mSeeds = {file.mControlEndpoint};
    file.mDataFolder = mFolder.string();
    auto settings = ControlSettingsFrom(file);
    CPPUNIT_ASSERT(settings.has_value());
    settings.value().mLogLevel = LogLevel::Error;
    mReplica = std::thread([this, settings = settings.value(), file] {
      const auto code = RunControl(settings, ControlPlatform(file, ""));
      mExitCode = code ? code.value() : 1;
    });
  }

  void tearDown() override
  {
    ::kill(getpid(), SIGTERM); // Handled by the replica.
    mReplica.join();
    InitialiseLog("unittests", "", LogLevel::Error);
    std::filesystem::remove_all(mFolder);
    CPPUNIT_ASSERT_EQUAL(0, mExitCode.load());
  }

private:
  // Returns a connection that the replica has accepted: it accepts them in turn, and the order
  // comes on a later one.
  tcp::socket Connect()
  {
    tcp::socket socket(mLoop);
    socket.connect({asio::ip::make_address(kAddress), kOperatorPort});
    Order("/Evacuate.Start/b");
    return socket;
  }

  // Sends an order on a connection; returns the status of the response, 0 for none.
  static int Send(tcp::socket& aSocket, const std::string& aPath)
  {
    boost::system::error_code error;
    asio::write(aSocket, asio::buffer(OrderText(aPath)), error);
    std::array<char, 12> head{};
    asio::read(aSocket, asio::buffer(head), error);
    return error ? 0 : std::stoi(std::string(head.data() + 9, 3));
  }

  // Sends an order on new connections until it is acknowledged, as operators do.
  void Order(const std::string& aPath)
  {
    const TimePoint end = RuntimeClock::now() + kLimit;
    while (RuntimeClock::now() < end) {
      tcp::socket socket(mLoop);
      boost::system::error_code error;
      socket.connect({asio::ip::make_address(kAddress), kOperatorPort}, error);
      if (!error && Send(socket, aPath) == kApplied) {
        return;
      }
      std::this_thread::sleep_for(kPause);
    }
    CPPUNIT_FAIL(aPath + " was not acknowledged");
  }

  // Guards against an evacuation that is undone: the bytes of an order arrive after its operator
  // has sent it again on another connection, and a newer one after that.
  void OrdersThatTheNetworkHeldUpDoNotUndoNewerOnes()
  {
    Order("/Evacuate.Start/a");
    tcp::socket heldUp = Connect();
    Order("/Evacuate.Finish/a");
    Order("/Evacuate.Start/a");
    CPPUNIT_ASSERT_EQUAL(kNotApplied, Send(heldUp, "/Evacuate.Finish/a"));
    // Nothing is refused for good.
    Order("/Evacuate.Finish/a");
  }

  // Guards against an order that is applied seconds after its operator has got no response and
  // decided otherwise.
  void OrdersOfOperatorsThatHaveGivenUpAreNotApplied()
  {
    Order("/Evacuate.Start/a");
    tcp::socket heldUp = Connect();
    std::this_thread::sleep_for(Milliseconds{1'000});
    CPPUNIT_ASSERT_EQUAL(kNotApplied, Send(heldUp, "/Evacuate.Finish/a"));
    Order("/Evacuate.Finish/a");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlReplicaTest);

} // namespace

} // namespace dandelionslip::platform
