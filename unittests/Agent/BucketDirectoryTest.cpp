// Tests of the directory of flow holders.
#include "dandelionslip/Agent/BucketDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class BucketDirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BucketDirectoryTest);
  CPPUNIT_TEST(ALateEndOfAnEarlierSessionKeepsTheHolder);
  CPPUNIT_TEST_SUITE_END();

  // Guards against unknown_flow answers to an open session: the caller has used its port again, and
  // the messages of the holder arrive in another order.
  void ALateEndOfAnEarlierSessionKeepsTheHolder()
  {
    constexpr FlowId kFlow = 7;
    TimePoint now{std::chrono::seconds(1)};
    BucketDirectory directory(1);
    directory.Record(kFlow, "b", now);
    now += 2 * kHolderGracePeriod;
    directory.Record(kFlow, "b", now);
    directory.RemoveHolder(kFlow, "b", now + Milliseconds{10});
    CPPUNIT_ASSERT(directory.Holder(kFlow) != nullptr);
    directory.RemoveHolder(kFlow, "b", now + kHolderGracePeriod);
    CPPUNIT_ASSERT(directory.Holder(kFlow) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketDirectoryTest);

} // namespace

} // namespace dandelionslip
