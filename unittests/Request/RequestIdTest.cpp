// Tests of request ids.
#include "RequestTestSupport.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestIdTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestIdTest);
  CPPUNIT_TEST(ParseReversesToString);
  CPPUNIT_TEST(InvalidTextsAreRejected);
  CPPUNIT_TEST(OrderFollowsTimestamps);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an id or timestamp that changes when an id is converted to text and back.
  void ParseReversesToString()
  {
    const std::string text = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"; // Example of RFC 9562.
    const RequestId id = RequestId::Parse(text).value();
    CPPUNIT_ASSERT_EQUAL(text, id.ToString());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0x017F22E279B0), id.TimestampMs());
    Random random(11);
    for (int i = 0; i < 1000; ++i) {
      const RequestId made = RequestId::Make(kWallStartMs + i, random);
      CPPUNIT_ASSERT(RequestId::Parse(made.ToString()).value() == made);
      CPPUNIT_ASSERT_EQUAL(kWallStartMs + i, made.TimestampMs());
    }
  }

  // Guards against ids without a usable timestamp, for which records could not expire.
  void InvalidTextsAreRejected()
  {
    for (const char* text :
         {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
          "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
          "017f22e2079b0-7cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398ff"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !RequestId::Parse(text));
    }
  }

  // Guards against an order of ids other than by age, on which the expiry of records relies.
  void OrderFollowsTimestamps()
  {
    Random random(12);
    for (int i = 0; i < 1000; ++i) {
      const RequestId older = RequestId::Make(kWallStartMs, random);
      CPPUNIT_ASSERT(older < RequestId::Make(kWallStartMs + 1, random));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestIdTest);

} // namespace

} // namespace dandelionslip
