// Tests of the operators' HTTP calls, over loopback.
#include "OperatorApi.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip::platform {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint16_t kPort = 17'431;

// A replica that decides nothing.
class FakeControl : public ControlInterface
{
public:
  void Submit(Command aCommand, CommandSender aSender,
              std::function<void(const CommandAnswer&)> aCallback) override
  {
    mCommands.push_back(std::move(aCommand));
    mSenders.push_back(std::move(aSender));
    mCallbacks.push_back(std::move(aCallback));
  }
  Result<std::string> ConfirmedRouteDocument() override { return std::string(); }
  asio::io_context& Loop() override { return mLoop; }

  asio::io_context mLoop;
  std::vector<Command> mCommands;
  std::vector<CommandSender> mSenders;
  std::vector<std::function<void(const CommandAnswer&)>> mCallbacks;
};

class OperatorApiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(OrdersOfOperatorsThatHaveLeftAreRecognised);
  CPPUNIT_TEST_SUITE_END();

  FakeControl mControl;

  // Sends an order while the process reads nothing.
  static tcp::socket SendOrder(asio::io_context& aLoop)
  {
    tcp::socket socket(aLoop);
    socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
    asio::write(socket, asio::buffer(std::string(
                          "POST /Evacuate.Finish/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n")));
    return socket;
  }

  void RunUntilOrders(std::size_t aCount)
  {
    while (mControl.mCommands.size() < aCount && mControl.mLoop.run_one_for(Milliseconds(5'000))) {
    }
    CPPUNIT_ASSERT_EQUAL(aCount, mControl.mCommands.size());
  }

  // Guards against an evacuation that is withdrawn by an order that waited in the socket of a
  // process that stood still, after its operator had sent it and newer ones to other VMs.
  void OrdersOfOperatorsThatHaveLeftAreRecognised()
  {
    const auto api =
      OperatorApi::Listen(mControl, Endpoint::Parse("127.0.0.1:" + std::to_string(kPort)).value());
    CPPUNIT_ASSERT(api.has_value());
    asio::io_context loop;
    SendOrder(loop).close();
    RunUntilOrders(1);
    CPPUNIT_ASSERT(!mControl.mSenders[0].mWaits());

    tcp::socket waiting = SendOrder(loop);
    RunUntilOrders(2);
    CPPUNIT_ASSERT(mControl.mSenders[1].mWaits());
    waiting.close();
    mControl.mLoop.run_for(Milliseconds(50));
    CPPUNIT_ASSERT(!mControl.mSenders[1].mWaits());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

} // namespace

} // namespace dandelionslip::platform
