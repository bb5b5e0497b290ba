// Tests of strict JSON and CBOR decoding, and of the quoting of log values.
#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/Log.h"
#include "dandelionslip/Support/Metrics.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace dandelionslip {

namespace {

struct Sample
{
  std::string mName;
  std::uint32_t mCount = 0;
};

// One field of each kind of number.
struct Numbers
{
  std::uint32_t mSmall = 0;
  std::uint64_t mLarge = 0;
  std::int64_t mSigned = 0;
  double mReal = 0;
};

template <typename V>
void DescribeFields(V& aVisitor, Numbers& aValue)
{
  aVisitor.Optional("small", aValue.mSmall);
  aVisitor.Optional("large", aValue.mLarge);
  aVisitor.Optional("signed", aValue.mSigned);
  aVisitor.Optional("real", aValue.mReal);
}

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
  CPPUNIT_TEST(NestingOfAnyDepthIsRejected);
  CPPUNIT_TEST(NestedIndefiniteCborStringsDoNotOverflowTheStack);
  CPPUNIT_TEST(DeclaredCborLengthsAllocateNothing);
  CPPUNIT_TEST(ErrorsOfLongInputAreShort);
  CPPUNIT_TEST(IntegersThatDoNotFitAreRejected);
  CPPUNIT_TEST(NumbersThatAreNotFiniteAreRejected);
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

  static std::string Repeated(std::string_view aText, std::size_t aCount)
  {
    std::string out;
    for (std::size_t i = 0; i < aCount; ++i) {
      out += aText;
    }
    return out;
  }

  static std::string Join(std::initializer_list<std::string_view> aParts)
  {
    std::string out;
    for (const std::string_view part : aParts) {
      out += part;
    }
    return out;
  }

  static Result<Json> DecodeText(std::string_view aBytes)
  {
    return DecodeCbor({reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size()},
                      "test");
  }

  static bool Accepts(const char* aKey, const Json& aValue)
  {
    const Json object{{aKey, aValue}};
    return FromCbor<Numbers>(EncodeCbor(object), "test").has_value();
  }

  // Guards against a number that is cut to the width of its field.
  void IntegersThatDoNotFitAreRejected()
  {
    constexpr std::uint64_t kMost = ~std::uint64_t{0};
    constexpr std::uint64_t kHalf = std::uint64_t{1} << 63U;
    constexpr std::uint64_t kSmallest = std::uint64_t{1} << 32U;
    CPPUNIT_ASSERT(Accepts("small", kSmallest - 1) && Accepts("large", kMost));
    CPPUNIT_ASSERT(Accepts("signed", kHalf - 1) && Accepts("signed", -1));
    for (const Json& value : {Json(kSmallest), Json(std::uint64_t{1} << 53U), Json(kHalf),
                              Json(kMost), Json(-1), Json(1.0), Json(true), Json("1"), Json()}) {
      CPPUNIT_ASSERT_MESSAGE(value.dump(), !Accepts("small", value));
    }
    for (const Json& value : {Json(-1), Json(1e300), Json(Json::array({1}))}) {
      CPPUNIT_ASSERT_MESSAGE(value.dump(), !Accepts("large", value));
    }
    CPPUNIT_ASSERT(!Accepts("signed", kHalf) && !Accepts("signed", kMost));
  }

  // Guards against arithmetic with a number that has no integer value.
  void NumbersThatAreNotFiniteAreRejected()
  {
    using Limits = std::numeric_limits<double>;
    CPPUNIT_ASSERT(Accepts("real", 1.5) && Accepts("real", 0) && Accepts("real", -1));
    for (const double value : {Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity()}) {
      CPPUNIT_ASSERT(!Accepts("real", value));
    }
    CPPUNIT_ASSERT(!Accepts("real", "1"));
  }

  // Guards against a depth, form or end of nesting that the limit misses.
  void NestingOfAnyDepthIsRejected()
  {
    for (const std::size_t depth : {10U, 1'000U, 100'000U, 1'000'000U}) {
      const bool tooDeep = depth > kMaxJsonDepth;
      for (const std::string_view open : {"[", "{\"a\":", "[{\"a\":", "[1,"}) {
        CPPUNIT_ASSERT(!ParseJson(Repeated(open, depth), "test"));
      }
      const auto objects = Join({Repeated("{\"a\":", depth), "1", Repeated("}", depth)});
      CPPUNIT_ASSERT_EQUAL(tooDeep, !ParseJson(objects, "test"));
      const auto arrays = Join({Repeated("[", depth), Repeated("]", depth)});
      CPPUNIT_ASSERT_EQUAL(tooDeep, !ParseJson(arrays, "test"));
      // Array, object, indefinite array, indefinite object, tag.
      for (const std::string_view open : {"\x81", "\xa1\x61\x61", "\x9f", "\xbf\x61\x61", "\xc1"}) {
        CPPUNIT_ASSERT(!DecodeText(Repeated(open, depth)));
      }
      CPPUNIT_ASSERT_EQUAL(tooDeep, !DecodeText(Join({Repeated("\xa1\x61\x61", depth), "\x01"})));
    }
  }

  // Guards against a process that ends because of one message.
  void NestedIndefiniteCborStringsDoNotOverflowTheStack()
  {
    for (const std::string_view open : {"\x7f", "\x5f"}) {
      for (const std::size_t depth : {10U, 1'000U, 100'000U, 1'000'000U, 8'000'000U}) {
        const std::string nested = Repeated(open, depth);
        CPPUNIT_ASSERT(!DecodeText(nested));
        CPPUNIT_ASSERT(!DecodeText(Join({"\x82\x61\x7f", nested})));
        CPPUNIT_ASSERT(!DecodeText(Join({"\xa1", nested})));
        CPPUNIT_ASSERT(!DecodeText(Join({"\xbf\x61\x61", nested})));
        CPPUNIT_ASSERT(!DecodeText(Join({"\x82\x9f\xff", nested})));
        CPPUNIT_ASSERT(!DecodeText(Join({nested, Repeated("\xff", depth)})));
      }
    }
    // The first byte of such a string may occur inside other values.
    for (const std::string_view value :
         {"\x82\x61\x7f\x19\x7f\x5f", "\x78\x02\x7f\x7f", "\xfa\x7f\x5f\x5f\x5f",
          "\xa1\x61\x5f\x18\x7f", "\x9f\x61\x7f\xff", "\xbf\x61\x7f\x3a\x7f\x7f\x7f\x7f\xff",
          "\xf9\x5f\x5f", "\xfb\x5f\x5f\x5f\x5f\x5f\x5f\x5f\x5f", "\x43\x7f\x7f\x7f"}) {
      CPPUNIT_ASSERT(DecodeText(value));
    }
  }

  // Guards against an allocation of the size that a message declares.
  void DeclaredCborLengthsAllocateNothing()
  {
    const std::string large = Repeated("\xff", 8);
    const std::string half = Join({"\x7f", Repeated("\xff", 7)});
    const std::string many = Join({std::string(3, '\0'), "\x7f\xff\xff\xff\xff"});
    for (const std::string_view head : {"\x5b", "\x7b", "\x9b", "\xbb", "\xdb"}) {
      for (const std::string& length : {large, half, many}) {
        CPPUNIT_ASSERT(!DecodeText(Join({head, length})));
        CPPUNIT_ASSERT(!DecodeText(Join({head, length, "\x61\x61\x01"})));
        CPPUNIT_ASSERT(!DecodeText(Join({"\x81", head, length, "abc"})));
      }
    }
  }

  // Guards against log lines and answers that are as long as the input.
  void ErrorsOfLongInputAreShort()
  {
    constexpr std::size_t kMost = 512;
    const std::string text(1'000'000, 'x');
    const auto key = Join({"\"", text, "\":1"});
    for (const std::string& input :
         {Join({"\"", text}), Join({"\"", text, "\xff\""}), Join({"{", key, ",", key, "}"}), text,
          Join({std::string(1'000'000, '7'), "\""})}) {
      const auto json = ParseJson(input, "test");
      CPPUNIT_ASSERT(!json && json.error().mDetail.size() <= kMost);
    }
    const Bytes truncated(1'000'000, 0x61);
    const auto cbor = DecodeCbor(truncated, "test");
    CPPUNIT_ASSERT(!cbor && cbor.error().mDetail.size() <= kMost);
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
