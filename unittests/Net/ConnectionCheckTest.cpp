// Tests of TryConnection with sockets on the loopback interface.
#include "dandelionslip/Net/ConnectionCheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace dandelionslip {

namespace {

using boost::asio::ip::tcp;

class ConnectionCheckTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionCheckTest);
  CPPUNIT_TEST(OnlyAClosedPortRefuses);
  CPPUNIT_TEST_SUITE_END();

  static ConnectionOutcome OutcomeAt(boost::asio::io_context& aLoop, std::uint16_t aPort)
  {
    std::optional<ConnectionOutcome> outcome;
    Endpoint endpoint = Endpoint::Parse("127.0.0.1:1").value();
    endpoint.mPort = aPort;
    TryConnection(aLoop, endpoint, [&](ConnectionOutcome aOutcome) { outcome = aOutcome; });
    aLoop.restart();
    aLoop.run();
    CPPUNIT_ASSERT(outcome.has_value());
    return *outcome;
  }

  // Guards against an upstream that is taken as absent although it runs: one that is frozen accepts
  // nothing, but the kernel does.
  void OnlyAClosedPortRefuses()
  {
    boost::asio::io_context loop;
    tcp::acceptor frozen(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = frozen.local_endpoint().port();
    CPPUNIT_ASSERT(OutcomeAt(loop, port) == ConnectionOutcome::Accepted);
    frozen.close();
    CPPUNIT_ASSERT(OutcomeAt(loop, port) == ConnectionOutcome::Refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionCheckTest);

} // namespace

} // namespace dandelionslip
