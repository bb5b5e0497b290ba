// Tests of the transfer, restart and limits of request records.
#include "RequestTestSupport.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestRecordsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestRecordsTest);
  CPPUNIT_TEST(TransferKeepsEveryRecordState);
  CPPUNIT_TEST(LateTransferHasNoEffect);
  CPPUNIT_TEST(FrozenBucketHasOneNewOwner);
  CPPUNIT_TEST(TransferCoversExpiredRecords);
  CPPUNIT_TEST(IdsUpToSkewBoundAreTooOldAfterLoss);
  CPPUNIT_TEST(RestartMakesPendingUnknown);
  CPPUNIT_TEST(AnswerOfStartedRequestIsAlwaysKept);
  CPPUNIT_TEST(LateRefusalDoesNotEndNewerAttempt);
  CPPUNIT_TEST(RejectedMessagesChangeNothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kBuckets = 1;

  static RequestRecords Owner(const char* aName, RecordLimits aLimits = {})
  {
    RequestRecords records(aName, kBuckets, aLimits);
    records.AcquireAsFirstOwner(0, 1);
    return records;
  }

  RequestId NewId(std::int64_t aMs = 0) { return RequestId::Make(kWallStartMs + aMs, mRandom); }

  static const Json& Exported(const Result<Json>& aTable)
  {
    CPPUNIT_ASSERT_MESSAGE(aTable ? "" : aTable.error().Message(), bool(aTable));
    return aTable.value();
  }

  // Guards against a transfer that loses a record and so permits a second run.
  void TransferKeepsEveryRecordState()
  {
    RequestRecords from = Owner("a");
    std::vector<RequestId> ids;
    for (int i = 0; i < 4; ++i) {
      ids.push_back(NewId());
      CPPUNIT_ASSERT(from.TryAddPending(ids.back(), 5));
    }
    from.MarkDone(ids[1], {200, "text/plain", {0, 255, 10}});
    CPPUNIT_ASSERT(from.TryMarkRefused(ids[2], 5, {RefusalReason::Cold, Milliseconds(9)}));
    from.MarkUnknown(ids[3]);
    RequestRecords to("b", kBuckets);
    to.Acquire(0, 2);
    const Bytes wire = EncodeCbor(Exported(from.FreezeAndExport({0}, "b", 2, kWallStartMs)));
    CPPUNIT_ASSERT(to.Import(DecodeCbor(wire, "a").value(), "a"));
    for (const RequestId& id : ids) {
      CPPUNIT_ASSERT(*from.Find(id) == *to.Find(id));
    }
    CPPUNIT_ASSERT(RecordBucketState::Frozen == from.StateOf(0));
    CPPUNIT_ASSERT(RecordBucketState::Complete == to.StateOf(0));
    from.MarkDone(ids[0], {200, "", {1}});
    CPPUNIT_ASSERT(to.MergeRecord(from.ExportRecord(ids[0]), "a"));
    CPPUNIT_ASSERT(RecordState::Done == to.Find(ids[0])->mState);
  }

  // Guards against a bucket that becomes complete with the records of an earlier transfer.
  void LateTransferHasNoEffect()
  {
    RequestRecords a = Owner("a");
    RequestRecords b("b", kBuckets);
    b.Acquire(0, 2);
    const Json early = Exported(a.FreezeAndExport({0}, "b", 2, kWallStartMs));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.Import(early, "a").value().size());
    a.Acquire(0, 3);
    CPPUNIT_ASSERT(a.Import(Exported(b.FreezeAndExport({0}, "a", 3, kWallStartMs)), "b"));
    CPPUNIT_ASSERT(a.TryAddPending(NewId(), 1));
    b.Acquire(0, 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), b.Import(early, "a").value().size());
    CPPUNIT_ASSERT(RecordBucketState::Incomplete == b.StateOf(0));
    // A late request for the first transfer must not freeze the bucket again.
    CPPUNIT_ASSERT(!a.FreezeAndExport({0}, "b", 2, kWallStartMs));
    CPPUNIT_ASSERT(RecordBucketState::Complete == a.StateOf(0));
  }

  // Guards against two new owners that both complete the bucket with one exported message.
  void FrozenBucketHasOneNewOwner()
  {
    RequestRecords a = Owner("a");
    const Json first = Exported(a.FreezeAndExport({0}, "b", 2, kWallStartMs));
    CPPUNIT_ASSERT(first == Exported(a.FreezeAndExport({0}, "b", 2, kWallStartMs)));
    CPPUNIT_ASSERT(!a.FreezeAndExport({0}, "c", 3, kWallStartMs));
    RequestRecords c("c", kBuckets);
    c.Acquire(0, 2);
    CPPUNIT_ASSERT(!c.Import(first, "a"));
    CPPUNIT_ASSERT(!c.FreezeAndExport({0}, "d", 3, kWallStartMs));
    CPPUNIT_ASSERT(!c.FreezeAndExport({7}, "d", 3, kWallStartMs));
  }

  // Guards against a new owner whose clock is behind and that takes an expired id for a new one.
  void TransferCoversExpiredRecords()
  {
    RequestRecords a = Owner("a");
    const RequestId id = NewId();
    CPPUNIT_ASSERT(a.TryAddPending(id, 1));
    a.MarkDone(id, {});
    a.Expire(kWallStartMs + 600'001);
    CPPUNIT_ASSERT(a.Find(id) == nullptr);
    RequestRecords b("b", kBuckets);
    b.Acquire(0, 2);
    CPPUNIT_ASSERT(b.Import(Exported(a.FreezeAndExport({0}, "b", 2, kWallStartMs + 600'001)), "a"));
    CPPUNIT_ASSERT(IdFreshness::TooOld == b.CheckFreshness(id, kWallStartMs + 590'000));
  }

  // Guards against a second run of an id that the lost owner may have run.
  void IdsUpToSkewBoundAreTooOldAfterLoss()
  {
    RequestRecords records("a", kBuckets);
    records.CompleteWithoutTransfer(0, kWallStartMs);
    CPPUNIT_ASSERT(RecordBucketState::NotOwned == records.StateOf(0));
    records.Acquire(0, 2);
    records.CompleteWithoutTransfer(0, kWallStartMs);
    CPPUNIT_ASSERT_EQUAL(kWallStartMs + 30'000, records.CompleteSince(0));
    CPPUNIT_ASSERT(IdFreshness::TooOld == records.CheckFreshness(NewId(29'999), kWallStartMs));
    CPPUNIT_ASSERT(IdFreshness::New == records.CheckFreshness(NewId(30'000), kWallStartMs));
    CPPUNIT_ASSERT(IdFreshness::InFuture == records.CheckFreshness(NewId(30'001), kWallStartMs));
  }

  // Guards against a second run of requests that were pending at a restart, and against the loss of
  // an answer that the old process received after its export.
  void RestartMakesPendingUnknown()
  {
    RequestRecords old = Owner("a");
    std::vector<RequestId> ids;
    for (int i = 0; i < 500; ++i) {
      ids.push_back(NewId());
      CPPUNIT_ASSERT(old.TryAddPending(ids.back(), 1));
    }
    const Bytes wire = EncodeCbor(old.ExportAll(kWallStartMs));
    RequestRecords fresh("a", kBuckets);
    CPPUNIT_ASSERT(fresh.ImportAll(DecodeCbor(wire, "peer").value(), "peer"));
    CPPUNIT_ASSERT(RecordBucketState::Complete == fresh.StateOf(0));
    CPPUNIT_ASSERT_EQUAL(ids.size(), fresh.Size());
    for (const RequestId& id : ids) {
      CPPUNIT_ASSERT(RecordState::Unknown == fresh.Find(id)->mState);
    }
    old.MarkDone(ids[0], {200, "", {1}});
    CPPUNIT_ASSERT(fresh.MergeRecord(old.ExportRecord(ids[0]), "peer"));
    CPPUNIT_ASSERT(RecordState::Done == fresh.Find(ids[0])->mState);
  }

  // Guards against an answer that is not kept because others filled the table during the run.
  void AnswerOfStartedRequestIsAlwaysKept()
  {
    RecordLimits limits;
    limits.mMaxBytes = 2 * kMaxKeptAnswerBytes + 10;
    RequestRecords records = Owner("a", limits);
    const std::vector<RequestId> ids{NewId(), NewId(), NewId()};
    CPPUNIT_ASSERT(records.TryAddPending(ids[0], 1) && records.TryAddPending(ids[1], 1));
    CPPUNIT_ASSERT(!records.TryAddPending(ids[2], 1));
    for (int i = 0; i < 2; ++i) {
      records.MarkDone(ids[i], {200, "", Bytes(kMaxKeptAnswerBytes, 1)});
      CPPUNIT_ASSERT(records.Find(ids[i])->mAnswer.has_value());
    }
    CPPUNIT_ASSERT_EQUAL(2 * kMaxKeptAnswerBytes, records.BytesInUse());
    records.Expire(kWallStartMs + 600'001);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), records.BytesInUse());
  }

  // Guards against a second run: a late refusal of an earlier attempt must not end the pending
  // record of a later attempt that runs.
  void LateRefusalDoesNotEndNewerAttempt()
  {
    RequestRecords a = Owner("a");
    const RequestId id = NewId();
    CPPUNIT_ASSERT(a.TryMarkRefused(id, 1, {}));
    const Json refused = a.ExportRecord(id);
    CPPUNIT_ASSERT(a.TryAddPending(id, 2));
    RequestRecords b("b", kBuckets);
    CPPUNIT_ASSERT(b.MergeRecord(a.ExportRecord(id), "a"));
    CPPUNIT_ASSERT(b.MergeRecord(refused, "a"));
    CPPUNIT_ASSERT(RecordState::Pending == b.Find(id)->mState);
    b.RaiseAttempt(id, 3);
    CPPUNIT_ASSERT(a.TryMarkRefused(id, 2, {}));
    CPPUNIT_ASSERT(b.MergeRecord(a.ExportRecord(id), "a"));
    CPPUNIT_ASSERT(RecordState::Refused == b.Find(id)->mState);
    CPPUNIT_ASSERT_EQUAL(Attempt(3), b.Find(id)->mAttempt);
  }

  // Guards against crashes and partial imports caused by damaged messages.
  void RejectedMessagesChangeNothing()
  {
    RequestRecords a = Owner("a");
    const RequestId id = NewId();
    CPPUNIT_ASSERT(a.TryAddPending(id, 1));
    a.MarkDone(id, {200, "", Bytes(20, 7)});
    const Bytes valid = EncodeCbor(Exported(a.FreezeAndExport({0}, "b", 2, kWallStartMs)));
    std::size_t rejected = 0;
    for (int round = 0; round < 3000; ++round) {
      Bytes altered = valid;
      altered[mRandom.Below(altered.size())] = static_cast<std::uint8_t>(mRandom.Next());
      RequestRecords b("b", kBuckets);
      b.Acquire(0, 2);
      const auto json = DecodeCbor(altered, "a");
      if (!json || !b.Import(json.value(), "a")) {
        ++rejected;
        CPPUNIT_ASSERT(b.Size() == 0 && b.StateOf(0) == RecordBucketState::Incomplete);
      }
    }
    CPPUNIT_ASSERT(rejected > 1000);
  }

  Random mRandom{41};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRecordsTest);

} // namespace

} // namespace dandelionslip
