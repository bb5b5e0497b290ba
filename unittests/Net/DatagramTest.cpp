// Tests of the encoding and decoding of datagrams.
#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Net/DatagramHeader.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

class DatagramTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DatagramTest);
  CPPUNIT_TEST(EncodedHeaderDecodesToSameFields);
  CPPUNIT_TEST(CorruptedHeadersAreRejected);
  CPPUNIT_TEST(OversizedPayloadIsRejected);
  CPPUNIT_TEST(RefusalCarriesReasonAndRetryAfter);
  CPPUNIT_TEST(RandomCallerDatagramsDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

  static DatagramHeader Sample()
  {
    DatagramHeader header;
    header.mKind = DatagramKind::Reply;
    header.mOpening = true;
    header.mLeaseValid = true;
    header.mHops = 3;
    header.mServiceId = 0x0102030405060708;
    header.mViewRevision = 0x1122334455667788;
    header.mGeneration = 0x99aabbcc;
    header.mFlowHash = 0xdeadbeefcafef00d;
    header.mCaller = Endpoint::Parse("127.0.0.1:1234").value();
    header.mService = Endpoint::Parse("[2001:db8::1]:80").value();
    header.mBalancer = Endpoint::Parse("127.0.0.3:65535").value();
    return header;
  }

  static Bytes Encoded(std::size_t aPayload)
  {
    const auto header = EncodeDatagramHeader(Sample());
    Bytes bytes(kDatagramHeaderSize + aPayload, 7);
    std::copy(header.begin(), header.end(), bytes.begin());
    return bytes;
  }

  // Guards against fields that are lost or swapped by encoding and decoding.
  void EncodedHeaderDecodesToSameFields()
  {
    const Bytes bytes = Encoded(5);
    const auto decoded = DecodeDatagram(bytes);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value().mHeader == Sample());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, decoded.value().mPayload.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>('D'), static_cast<int>(bytes[0]));
  }

  // Guards against crashes on corrupted or truncated headers, and against accepting them.
  void CorruptedHeadersAreRejected()
  {
    Random random(1);
    for (int round = 0; round < 20'000; ++round) {
      Bytes bytes = Encoded(random.Below(20));
      const std::size_t index = random.Below(kDatagramHeaderSize);
      bytes[index] ^= static_cast<std::uint8_t>(1 + random.Below(255));
      CPPUNIT_ASSERT(!DecodeDatagram(bytes));
      bytes.resize(random.Below(kDatagramHeaderSize));
      CPPUNIT_ASSERT(!DecodeDatagram(bytes));
    }
  }

  // Guards against accepting payloads larger than kMaxDatagramPayload.
  void OversizedPayloadIsRejected()
  {
    CPPUNIT_ASSERT(DecodeDatagram(Encoded(kMaxDatagramPayload)));
    CPPUNIT_ASSERT(!DecodeDatagram(Encoded(kMaxDatagramPayload + 1)));
  }

  // Guards against refusals that lose their reason or retry-after time.
  void RefusalCarriesReasonAndRetryAfter()
  {
    const Bytes bytes = EncodeCallerDatagram(
      {CallerDatagramKind::Refused, 42, {}, RefusalReason::Cold, Milliseconds(1'500)});
    const auto decoded = DecodeCallerDatagram(bytes);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value().mReason == RefusalReason::Cold);
    CPPUNIT_ASSERT(decoded.value().mRetryAfter == Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, decoded.value().mSessionTag);
  }

  // Guards against crashes on malformed caller datagrams, and against accepting a refusal of the
  // wrong length. Small byte values make many datagrams pass the checks of kind and version.
  void RandomCallerDatagramsDoNotCrash()
  {
    Random random(2);
    std::size_t accepted = 0;
    std::size_t rejected = 0;
    for (int round = 0; round < 20'000; ++round) {
      Bytes bytes(random.Below(24));
      for (std::uint8_t& byte : bytes) {
        byte = static_cast<std::uint8_t>(random.Below(6));
      }
      const auto decoded = DecodeCallerDatagram(bytes);
      (decoded ? accepted : rejected) += 1;
      CPPUNIT_ASSERT(!decoded || decoded.value().mKind != CallerDatagramKind::Refused ||
                     bytes.size() == 15);
    }
    CPPUNIT_ASSERT(accepted > 100 && rejected > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramTest);

} // namespace

} // namespace dandelionslip
