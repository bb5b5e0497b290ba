// Tests of the endpoints that a control replica sends join requests to.
#include "dandelionslip/Control/JoinEndpoints.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class JoinEndpointsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JoinEndpointsTest);
  CPPUNIT_TEST(EachOtherMemberHearsFromAVoter);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a voter that only the leader knows to run, and against requests that reach a
  // replica twice.
  void EachOtherMemberHearsFromAVoter()
  {
    JoinEndpoints endpoints("192.0.2.1:1", {"192.0.2.9:1"});
    RaftMembership members;
    for (const char* address : {"192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1"}) {
      members.mReplicas[address] = {address, true, 0};
    }
    endpoints.OnMembers(members);
    using Endpoints = std::set<std::string>;
    CPPUNIT_ASSERT(endpoints.Targets("192.0.2.2:1") == Endpoints{"192.0.2.2:1"});
    CPPUNIT_ASSERT(endpoints.Observers("192.0.2.2:1") == Endpoints{"192.0.2.3:1"});
    CPPUNIT_ASSERT(
      (endpoints.Targets("") == Endpoints{"192.0.2.2:1", "192.0.2.3:1", "192.0.2.9:1"}));
    CPPUNIT_ASSERT(endpoints.Observers("").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JoinEndpointsTest);

} // namespace

} // namespace dandelionslip
