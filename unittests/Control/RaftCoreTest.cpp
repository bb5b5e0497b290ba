// Scenarios of the replicated log: elections, losses, catch-up and membership.
#include "Control/SimulatedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class RaftCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftCoreTest);
  CPPUNIT_TEST(OneReplicaCommitsAlone);
  CPPUNIT_TEST(ThreeReplicasElectAndCommit);
  CPPUNIT_TEST_SUITE_END();

  static void CheckHistory(SimulatedCluster& aCluster)
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), aCluster.Checker().FirstViolation());
  }

  // Guards against a single replica that waits for answers of others.
  void OneReplicaCommitsAlone()
  {
    SimulatedCluster cluster(1, 1, 1);
    CPPUNIT_ASSERT(cluster.ProposeAndAwait());
    CheckHistory(cluster);
  }

  // Guards against a log that elects no leader or commits nothing without faults.
  void ThreeReplicasElectAndCommit()
  {
    SimulatedCluster cluster(3, 3, 1);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(cluster.ProposeAndAwait());
    }
    CPPUNIT_ASSERT(cluster.RunUntil([&] { return cluster.Converged(); }));
    CheckHistory(cluster);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftCoreTest);

} // namespace

} // namespace dandelionslip
