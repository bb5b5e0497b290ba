// Tests of strict JSON and CBOR decoding, and of the quoting of log values.
#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/Log.h"
#include "dandelionslip/Support/Metrics.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

struct Sample
{
  std::string mName;
  std::uint32_t mCount = 0;
};

template <typename V>
void DescribeFields(V& aVisitor, Sample& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Optional("count", aValue.mCount, {1, 10});
}

class JsonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(CommentsAreAccepted);
  CPPUNIT_TEST(ViolationsNameTheKeyPath);
  CPPUNIT_TEST(DuplicateKeysAreRejected);
  CPPUNIT_TEST(DeepNestingIsRejected);
  CPPUNIT_TEST(CorruptedCborDoesNotCrash);
  CPPUNIT_TEST(LogValuesAreEscaped);
  CPPUNIT_TEST_SUITE_END();

  static std::string ErrorOf(std::string_view aText)
  {
    const auto json = ParseJson(aText, "test.json");
    if (!json) {
      return json.error().Message();
    }
    const auto sample = FromJson<Sample>(json.value(), "test.json");
    return sample ? "" : sample.error().Message();
  }

  // Guards against the rejection of settings files with comments.
  void CommentsAreAccepted()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         ErrorOf("{ // name\n\"name\": \"a\", /* n */ \"count\": 3}"));
  }

  // Guards against errors that do not name the line or key at fault.
  void ViolationsNameTheKeyPath()
  {
    CPPUNIT_ASSERT(ErrorOf(R"({"name": 4})").find("name: found 4") != std::string::npos);
    CPPUNIT_ASSERT(ErrorOf(R"({"name": "a", "count": 11})").find("from 1 to 10") !=
                   std::string::npos);
    CPPUNIT_ASSERT(ErrorOf(R"({"name": "a", "other": 1})").find("other") != std::string::npos);
    CPPUNIT_ASSERT(ErrorOf("{\n\"name\" 4}").find("line 2") != std::string::npos);
    CPPUNIT_ASSERT(ErrorOf("{}").find("name: missing") != std::string::npos);
  }

  // Guards against a second value of a key that silently replaces the first one.
  void DuplicateKeysAreRejected()
  {
    CPPUNIT_ASSERT(ErrorOf(R"({"name": "a", "name": "b"})").find("duplicate key \"name\"") !=
                   std::string::npos);
  }

  // Guards against stack overflow by deeply nested input.
  void DeepNestingIsRejected()
  {
    CPPUNIT_ASSERT(ErrorOf(std::string(100000, '[')).find("nesting") != std::string::npos);
    const Bytes nested(100000, 0x81);
    CPPUNIT_ASSERT(!DecodeCbor(nested, "test"));
  }

  // Guards against crashes on corrupt messages. A changed message may still be valid.
  void CorruptedCborDoesNotCrash()
  {
    const Bytes valid = ToCbor(Sample{"upstream-1", 7});
    Random random(1);
    std::size_t rejected = 0;
    constexpr int kRounds = 5000;
    for (int round = 0; round < kRounds; ++round) {
      Bytes mutated = valid;
      mutated[random.Below(mutated.size())] = static_cast<std::uint8_t>(random.Next());
      mutated.resize(random.Below(mutated.size() + 1));
      rejected += FromCbor<Sample>(mutated, "test") ? 0 : 1;
    }
    CPPUNIT_ASSERT(rejected > kRounds / 2);
    CPPUNIT_ASSERT_EQUAL(7U, FromCbor<Sample>(valid, "test").value().mCount);
  }

  // Guards against values that split an event into two lines.
  void LogValuesAreEscaped()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("plain"), QuoteLogValue("plain"));
    CPPUNIT_ASSERT_EQUAL(std::string("\"a \\\"b\\\"\\x0a\""), QuoteLogValue("a \"b\"\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace

} // namespace dandelionslip
