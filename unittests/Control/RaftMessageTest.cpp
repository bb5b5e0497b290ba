// Tests of the CBOR encoding of Raft messages.
#include "dandelionslip/Control/RaftMessage.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

std::vector<RaftBody> OneBodyOfEachKind()
{
  AppendRequest append{5, 2, {{6, 3, EntryKind::Command, {0, 255}}}, 4, 77, 12, {}, 3};
  append.mEcho = ClockStamp{~0ULL, -5};
  SnapshotRequest snapshot;
  snapshot.mIndex = 9;
  snapshot.mLastTerm = 3;
  snapshot.mSize = 500;
  snapshot.mOffset = 100;
  snapshot.mData = {1, 2, 3};
  snapshot.mSentNs = 8;
  snapshot.mMembership.mReplicas["a"] = {"127.0.0.1:1", true, ~0ULL};
  snapshot.mMembership.mRemoved = {"b"};
  return {PreVoteRequest{4, 5, 3},
          PreVoteAnswer{4, true},
          VoteRequest{5, 3, true},
          VoteAnswer{true},
          append,
          AppendAnswer{true, 6, 5, 4, 77, {9, 10}},
          snapshot,
          SnapshotAnswer{9, 103, false, 8},
          TimeoutNow{},
          ReplicaRefusal{"reason"}};
}

class RaftMessageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftMessageTest);
  CPPUNIT_TEST(EachKindIsDecodedUnchanged);
  CPPUNIT_TEST(AlteredMessagesNeverCrash);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a field that is not sent, and against kinds that are mixed up.
  void EachKindIsDecodedUnchanged()
  {
    const auto bodies = OneBodyOfEachKind();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<RaftBody>, bodies.size());
    for (const RaftBody& body : bodies) {
      const RaftMessage message{"a", "b", 3, 1, true, ~0ULL, body};
      const auto decoded = DecodeRaftMessage(EncodeRaftMessage(message), "test");
      CPPUNIT_ASSERT(decoded);
      CPPUNIT_ASSERT(decoded.value() == message);
    }
  }

  // Guards against crashes on messages that were altered or truncated.
  void AlteredMessagesNeverCrash()
  {
    Random random(3);
    std::size_t refused = 0;
    constexpr int kRounds = 500;
    for (int round = 0; round < kRounds; ++round) {
      for (const RaftBody& body : OneBodyOfEachKind()) {
        Bytes altered = EncodeRaftMessage({"a", "b", 3, 1, false, 2, body});
        altered[random.Below(altered.size())] = static_cast<std::uint8_t>(random.Next());
        altered.resize(random.Below(altered.size() + 1));
        refused += DecodeRaftMessage(altered, "test") ? 0 : 1;
      }
    }
    CPPUNIT_ASSERT(refused > kRounds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftMessageTest);

} // namespace

} // namespace dandelionslip
