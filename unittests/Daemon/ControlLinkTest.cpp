// Tests of a node's link to the control replicas.
#include "../../lib/Daemon/ControlLink.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

namespace dandelionslip {

namespace {

class ControlLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlLinkTest);
  CPPUNIT_TEST(UnusableEndpointsDoNotEndTheNode);
  CPPUNIT_TEST_SUITE_END();

  // Guards against nodes that end when they count the traffic of an endpoint they can't use.
  void UnusableEndpointsDoNotEndTheNode()
  {
    boost::asio::io_context loop;
    Http2ClientPool clients(loop);
    MetricsRegistry registry;
    CommonSettings settings;
    settings.mControlEndpoints = {"192.0.2.1:7300"};
    ControlLink link(loop, clients, settings, registry, {});
    link.AddSeeds({"host:7300", "192.0.2.1:65536", ""});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.TrafficBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlLinkTest);

} // namespace

} // namespace dandelionslip
