// Tests of the durable log against crashes, failed syncs and damage.
#include "dandelionslip/Control/LogStore.h"
#include "Control/FakeFileSystem.h"
#include "dandelionslip/Control/PosixFileSystem.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <functional>
#include <unistd.h>

namespace dandelionslip {

namespace {

constexpr const char* kDirectory = "data";
constexpr std::uint64_t kSmallSegment = 200; // A few entries.

// The durable contents that a test expects.
struct Contents
{
  HardState mHardState;
  LogIndex mSnapshot = 0;
  std::vector<LogEntry> mEntries; // After the snapshot.

  bool operator==(const Contents&) const = default;
};

// One change of a store and the contents after it.
struct Change
{
  std::function<Status(LogStore&)> mRun;
  Contents mAfter;
};

std::vector<LogEntry> Entries(LogIndex aFirst, LogIndex aLast, Term aTerm)
{
  std::vector<LogEntry> entries;
  for (LogIndex index = aFirst; index <= aLast; ++index) {
    entries.push_back({index, aTerm, EntryKind::Command, Bytes(20, std::uint8_t(index))});
  }
  return entries;
}

Result<std::unique_ptr<LogStore>> OpenStore(FileSystem& aFiles, std::string aDirectory = kDirectory)
{
  Random random(1);
  return LogStore::Open(aFiles, {std::move(aDirectory), kSmallSegment, {}}, random);
}

Contents Recovered(LogStore& aStore)
{
  RecoveredState state = aStore.TakeRecovered();
  return {state.mHardState, state.mSnapshot ? state.mSnapshot->mIndex : 0,
          std::move(state.mEntries)};
}

// Whether the entries of aShort are the first ones of aLong.
bool IsPrefix(const Contents& aShort, const Contents& aLong)
{
  return aShort.mHardState == aLong.mHardState && aShort.mSnapshot == aLong.mSnapshot &&
         aShort.mEntries.size() <= aLong.mEntries.size() &&
         std::equal(aShort.mEntries.begin(), aShort.mEntries.end(), aLong.mEntries.begin());
}

// Whether a crash during a change may leave these contents.
bool IsBetween(const Contents& aFound, const Contents& aBefore, const Contents& aAfter)
{
  return aFound == aBefore || aFound == aAfter ||
         (IsPrefix(aBefore, aFound) && IsPrefix(aFound, aAfter)) ||
         (IsPrefix(aAfter, aFound) && IsPrefix(aFound, aBefore));
}

class Workload
{
public:
  Workload()
  {
    SaveHardState({3, "a"});
    Append(1, 12, 3);
    Truncate(10);
    Append(10, 14, 4);
    Truncate(5);
    SaveHardState({5, ""});
    Append(5, 9, 5);
    Snapshot(7, 5, true);
    Append(10, 16, 5);
    Snapshot(16, 5, true);
    Append(17, 24, 6);
    Snapshot(20, 7, false);
    Append(21, 23, 7);
  }

  const std::vector<Change>& Changes() const { return mChanges; }

private:
  void SaveHardState(const HardState& aState)
  {
    mNow.mHardState = aState;
    Add([aState](LogStore& aStore) { return aStore.SaveHardState(aState); });
  }

  void Append(LogIndex aFirst, LogIndex aLast, Term aTerm)
  {
    const auto entries = Entries(aFirst, aLast, aTerm);
    mNow.mEntries.insert(mNow.mEntries.end(), entries.begin(), entries.end());
    Add([entries](LogStore& aStore) { return aStore.Append(entries); });
  }

  void Truncate(LogIndex aFirst)
  {
    std::erase_if(mNow.mEntries, [&](const LogEntry& aEntry) { return aEntry.mIndex >= aFirst; });
    Add([aFirst](LogStore& aStore) { return aStore.TruncateFrom(aFirst); });
  }

  void Snapshot(LogIndex aIndex, Term aTerm, bool aKeep)
  {
    mNow.mSnapshot = aIndex;
    std::erase_if(mNow.mEntries,
                  [&](const LogEntry& aEntry) { return !aKeep || aEntry.mIndex <= aIndex; });
    auto snapshot = std::make_shared<dandelionslip::Snapshot>();
    snapshot->mIndex = aIndex;
    snapshot->mTerm = aTerm;
    snapshot->mState = Bytes(10, 1);
    Add([=](LogStore& aStore) { return aStore.InstallSnapshot(*snapshot, aKeep); });
  }

  void Add(std::function<Status(LogStore&)> aRun) { mChanges.push_back({std::move(aRun), mNow}); }

  Contents mNow;
  std::vector<Change> mChanges;
};

class LogStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(CrashAtEveryStepKeepsWhatWasAcknowledged);
  CPPUNIT_TEST(FailedSyncStopsTheStore);
  CPPUNIT_TEST(UnsyncedChangesAreDurableOnceTheStoreIsOpenAgain);
  CPPUNIT_TEST(FailedSyncsAreMadeGoodOnceTheStoreIsOpenAgain);
  CPPUNIT_TEST(IncompleteTailIsDropped);
  CPPUNIT_TEST(DamageBeforeTheTailIsAnError);
  CPPUNIT_TEST(CorruptLengthIsNotAnIncompleteTail);
  CPPUNIT_TEST(MissingFilesAreErrors);
  CPPUNIT_TEST(InterruptedDiscardIsFinishedAtTheNextStart);
  CPPUNIT_TEST(DiscardWithAFailedSyncIsFinishedAtTheNextStart);
  CPPUNIT_TEST(IdentityBelongsToTheDirectory);
  CPPUNIT_TEST(BootstrapNeedsAnEmptyStore);
  CPPUNIT_TEST(EntriesMayExceedTheSegmentBound);
  CPPUNIT_TEST(RealFilesKeepTheContents);
  CPPUNIT_TEST_SUITE_END();

  // Runs the workload until the simulated crash; returns the number of acknowledged changes.
  static std::size_t RunUntilCrash(FakeFileSystem& aFiles, const std::vector<Change>& aChanges)
  {
    auto store = OpenStore(aFiles);
    std::size_t done = 0;
    while (store && done < aChanges.size() && aChanges[done].mRun(*store.value())) {
      ++done;
    }
    return done;
  }

  static void CheckRecovery(FakeFileSystem& aFiles, const std::vector<Change>& aChanges,
                            std::size_t aDone, const std::string& aCase)
  {
    const Contents before = aDone == 0 ? Contents{} : aChanges[aDone - 1].mAfter;
    const Contents after = aChanges[std::min(aDone, aChanges.size() - 1)].mAfter;
    auto store = OpenStore(aFiles);
    CPPUNIT_ASSERT_MESSAGE(aCase + (store ? "" : store.error().Message()), store);
    const LogIndex last = store.value()->LastIndex();
    const Contents found = Recovered(*store.value());
    CPPUNIT_ASSERT_MESSAGE(aCase + "contents", IsBetween(found, before, after));
    CPPUNIT_ASSERT_MESSAGE(aCase + "append", store.value()->SaveHardState({9, ""}));
    CPPUNIT_ASSERT_MESSAGE(aCase + "append", store.value()->Append(Entries(last + 1, last + 6, 9)));
    store.value().reset();
    auto again = OpenStore(aFiles);
    CPPUNIT_ASSERT_MESSAGE(aCase + "second start", again);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aCase, last + 6, again.value()->LastIndex());
  }

  // Guards against acknowledged entries, terms or votes being lost, or a store that cannot start,
  // after a crash between any two of write, sync, rename, directory sync and acknowledgement.
  void CrashAtEveryStepKeepsWhatWasAcknowledged()
  {
    const Workload workload;
    const auto& changes = workload.Changes();
    for (std::size_t step = 0;; ++step) {
      std::size_t done = 0;
      for (std::uint64_t variant = 0; variant < 12; ++variant) {
        FakeFileSystem files;
        Random random(variant);
        files.CrashBefore(step);
        done = RunUntilCrash(files, changes);
        files.Restart(variant == 0 ? CrashMode::DropAll : CrashMode::Random, random);
        CheckRecovery(files, changes, done,
                      "step " + std::to_string(step) + " variant " + std::to_string(variant) + " ");
      }
      if (done == changes.size()) {
        CPPUNIT_ASSERT(step > 100);
        return;
      }
    }
  }

  // Guards against a store that goes on after a failed sync, when the file's contents are unknown.
  void FailedSyncStopsTheStore()
  {
    const Workload workload;
    const auto& changes = workload.Changes();
    for (std::size_t sync = 0;; ++sync) {
      FakeFileSystem files;
      auto store = OpenStore(files);
      files.FailSync(sync);
      std::size_t done = 0;
      while (done < changes.size() && changes[done].mRun(*store.value())) {
        ++done;
      }
      if (done == changes.size()) {
        CPPUNIT_ASSERT(sync > 20);
        return;
      }
      CPPUNIT_ASSERT(store.value()->Failure());
      const LogIndex last = store.value()->LastIndex();
      CPPUNIT_ASSERT(!store.value()->SaveHardState({10, ""}));
      CPPUNIT_ASSERT(!store.value()->Append(Entries(last + 1, last + 1, 10)));
      CPPUNIT_ASSERT(!store.value()->TruncateFrom(last));
      Random random(sync);
      files.Restart(CrashMode::DropAll, random);
      CheckRecovery(files, changes, done, "sync " + std::to_string(sync) + " ");
    }
  }

  // Opens the store after its process ended, then once more after a loss of power.
  static void CheckPowerLossAfterOpen(FakeFileSystem& aFiles, CrashMode aMode, Random& aRandom,
                                      const std::string& aCase)
  {
    aFiles.RestartProcess();
    auto store = OpenStore(aFiles);
    CPPUNIT_ASSERT_MESSAGE(aCase + (store ? "" : store.error().Message()), store);
    const Contents found = Recovered(*store.value());
    store.value().reset();
    aFiles.Restart(aMode, aRandom);
    auto again = OpenStore(aFiles);
    CPPUNIT_ASSERT_MESSAGE(aCase + (again ? "" : again.error().Message()), again);
    CPPUNIT_ASSERT_MESSAGE(aCase, Recovered(*again.value()) == found);
  }

  // Guards against entries, terms or votes that a replica acknowledges after its restart but that a
  // loss of power takes back.
  void UnsyncedChangesAreDurableOnceTheStoreIsOpenAgain()
  {
    const Workload workload;
    const auto& changes = workload.Changes();
    std::size_t done = 0;
    for (std::size_t step = 0; done < changes.size(); ++step) {
      for (std::uint64_t variant = 0; variant < 12; ++variant) {
        FakeFileSystem files;
        Random random(variant);
        files.CrashBefore(step);
        done = RunUntilCrash(files, changes);
        CheckPowerLossAfterOpen(
          files, variant == 0 ? CrashMode::DropAll : CrashMode::Random, random,
          "step " + std::to_string(step) + " variant " + std::to_string(variant) + " ");
      }
    }
  }

  // The same for bytes that a failed sync dropped, which the next sync of the file skips.
  void FailedSyncsAreMadeGoodOnceTheStoreIsOpenAgain()
  {
    const Workload workload;
    const auto& changes = workload.Changes();
    std::size_t done = 0;
    for (std::size_t sync = 0; done < changes.size(); ++sync) {
      for (std::uint64_t variant = 0; variant < 12; ++variant) {
        FakeFileSystem files;
        Random random(variant);
        files.FailSync(sync);
        done = RunUntilCrash(files, changes);
        CheckPowerLossAfterOpen(
          files, variant == 0 ? CrashMode::DropAll : CrashMode::Random, random,
          "sync " + std::to_string(sync) + " variant " + std::to_string(variant) + " ");
      }
    }
  }

  // A store with two segments; returns the path of the newest one.
  static std::string FillTwoSegments(FakeFileSystem& aFiles)
  {
    auto store = OpenStore(aFiles);
    CPPUNIT_ASSERT(store.value()->SaveHardState({1, ""}));
    CPPUNIT_ASSERT(store.value()->Append(Entries(1, 4, 1)));
    return std::string(kDirectory) + "/" + aFiles.List(kDirectory).value().back();
  }

  // Guards against a store that refuses to start after a write was interrupted.
  void IncompleteTailIsDropped()
  {
    FakeFileSystem reference;
    const std::size_t size = reference.Contents(FillTwoSegments(reference)).size();
    for (std::size_t cut = 1; cut < 60; ++cut) {
      FakeFileSystem files;
      Bytes& newest = files.Contents(FillTwoSegments(files));
      newest.resize(size - cut);
      CPPUNIT_ASSERT(OpenStore(files).value()->TakeRecovered().mDroppedTail);
      newest.resize(newest.size() + 30, 0);
      CPPUNIT_ASSERT_EQUAL(LogIndex(3), OpenStore(files).value()->LastIndex());
    }
  }

  // Guards against damaged entries being used, or being dropped together with acknowledged ones.
  void DamageBeforeTheTailIsAnError()
  {
    FakeFileSystem reference;
    FillTwoSegments(reference);
    const auto names = reference.List(kDirectory).value();
    for (const std::string& name : names) {
      const std::string path = std::string(kDirectory) + "/" + name;
      for (std::size_t at = 0; at < reference.Contents(path).size(); ++at) {
        FakeFileSystem files;
        FillTwoSegments(files);
        files.Contents(path)[at] ^= 0x10;
        const auto store = OpenStore(files);
        CPPUNIT_ASSERT_MESSAGE(path + std::to_string(at), !store);
        CPPUNIT_ASSERT_EQUAL(std::string("corrupt"), std::string(ToString(store.error().mCode)));
        CPPUNIT_ASSERT_EQUAL(path, store.error().mSubject);
        CPPUNIT_ASSERT(store.error().mDetail.find("offset ") == 0);
      }
    }
  }

  // Guards against a corrupt length that is taken for an incomplete record at the end of the file.
  void CorruptLengthIsNotAnIncompleteTail()
  {
    FakeFileSystem files;
    const std::string path = FillTwoSegments(files);
    files.Contents(path)[2] = 0xff; // Third byte of the length of the first record.
    CPPUNIT_ASSERT(!OpenStore(files));
  }

  // Guards against a replica that starts without its vote, its identity or a part of its log.
  void MissingFilesAreErrors()
  {
    FakeFileSystem reference;
    FillTwoSegments(reference);
    const auto names = reference.List(kDirectory).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), names.size());
    for (std::size_t i = 0; i + 1 < names.size(); ++i) {
      FakeFileSystem files;
      FillTwoSegments(files);
      CPPUNIT_ASSERT(files.Remove(std::string(kDirectory) + "/" + names[i]));
      CPPUNIT_ASSERT_MESSAGE(names[i], !OpenStore(files));
    }
  }

  // Fills a store and discards it with a fault. Returns whether the discard, and the start after
  // it, succeeded in spite of the fault.
  static bool DiscardWith(const std::function<void(FakeFileSystem&)>& aFault,
                          std::uint64_t aVariant, const std::string& aCase)
  {
    constexpr std::size_t kMostOperations = 12;
    const Workload workload;
    FakeFileSystem files;
    RunUntilCrash(files, workload.Changes());
    const ReplicaId identity = OpenStore(files).value()->TakeRecovered().mReplica;
    Random random(aVariant + 2);
    const auto open = [&] {
      return LogStore::Open(files, {kDirectory, kSmallSegment, {}}, random);
    };
    const auto interrupt = [&] {
      files.RestartProcess();
      if (aVariant % 3 != 0) {
        files.Restart(aVariant % 3 == 1 ? CrashMode::DropAll : CrashMode::Random, random);
      }
    };
    aFault(files);
    const bool discarded = LogStore::Discard(files, kDirectory).has_value();
    const bool done = discarded && open();
    interrupt();
    files.CrashBefore(random.Below(kMostOperations));
    static_cast<void>(open().has_value()); // May be interrupted again.
    interrupt();
    files.Restart(CrashMode::Random, random);
    auto store = open();
    CPPUNIT_ASSERT_MESSAGE(aCase + (store ? "" : store.error().Message()), store);
    RecoveredState state = store.value()->TakeRecovered();
    const bool kept = !discarded && state.mReplica == identity;
    CPPUNIT_ASSERT_MESSAGE(aCase, kept || state.mReplica != identity);
    CPPUNIT_ASSERT_MESSAGE(aCase, kept || (state.IsEmpty() && state.mHardState == HardState{}));
    CPPUNIT_ASSERT_MESSAGE(aCase,
                           !kept || state.mEntries == workload.Changes().back().mAfter.mEntries);
    return done;
  }

  // Guards against a store that cannot start, or starts with a part of its log, after its discard
  // was interrupted.
  void InterruptedDiscardIsFinishedAtTheNextStart()
  {
    bool done = false;
    for (std::size_t step = 0; !done; ++step) {
      for (std::uint64_t variant = 0; variant < 60; ++variant) {
        done =
          DiscardWith([=](FakeFileSystem& aFiles) { aFiles.CrashBefore(step); }, variant,
                      "step " + std::to_string(step) + " variant " + std::to_string(variant) + " ");
      }
    }
  }

  void DiscardWithAFailedSyncIsFinishedAtTheNextStart()
  {
    bool done = false;
    for (std::size_t sync = 0; !done; ++sync) {
      for (std::uint64_t variant = 0; variant < 60; ++variant) {
        done =
          DiscardWith([=](FakeFileSystem& aFiles) { aFiles.FailSync(sync); }, variant,
                      "sync " + std::to_string(sync) + " variant " + std::to_string(variant) + " ");
      }
    }
  }

  // Guards against a replica taking over the data directory of another one.
  void IdentityBelongsToTheDirectory()
  {
    FakeFileSystem files;
    const RecoveredState first = OpenStore(files).value()->TakeRecovered();
    CPPUNIT_ASSERT(IsReplicaId(first.mReplica));
    CPPUNIT_ASSERT(first.mStore != 0);
    const RecoveredState second = OpenStore(files).value()->TakeRecovered();
    CPPUNIT_ASSERT_EQUAL(first.mReplica, second.mReplica);
    CPPUNIT_ASSERT_EQUAL(first.mStore, second.mStore);
    Random random(2);
    const ReplicaId other = NewReplicaId(random);
    CPPUNIT_ASSERT(!LogStore::Open(files, {kDirectory, kSmallSegment, other}, random));
    FakeFileSystem empty;
    CPPUNIT_ASSERT(!LogStore::Open(empty, {kDirectory, kSmallSegment, "not a UUID"}, random));
  }

  // Guards against a bootstrap of a store that already holds a log.
  void BootstrapNeedsAnEmptyStore()
  {
    FakeFileSystem files;
    auto store = OpenStore(files);
    CPPUNIT_ASSERT(store.value()->Bootstrap({}));
    CPPUNIT_ASSERT(!store.value()->Bootstrap({}));
    CPPUNIT_ASSERT_EQUAL(LogIndex(1), OpenStore(files).value()->LastIndex());
  }

  // Guards against an append that makes no progress because the segment size is smaller than an
  // entry.
  void EntriesMayExceedTheSegmentBound()
  {
    FakeFileSystem files;
    Random random(1);
    auto store = LogStore::Open(files, {kDirectory, 1, {}}, random);
    CPPUNIT_ASSERT(store.value()->SaveHardState({1, ""}));
    CPPUNIT_ASSERT(store.value()->Append(Entries(1, 3, 1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), files.List(kDirectory).value().size());
    CPPUNIT_ASSERT_EQUAL(LogIndex(3), OpenStore(files).value()->LastIndex());
  }

  // Guards against a difference between the simulated files and those of the operating system.
  void RealFilesKeepTheContents()
  {
    std::string directory = std::filesystem::temp_directory_path() / "dandelionslip-log-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(directory.data()) != nullptr);
    PosixFileSystem files;
    const Workload workload;
    for (const Change& change : workload.Changes()) {
      auto store = OpenStore(files, directory);
      CPPUNIT_ASSERT(store);
      CPPUNIT_ASSERT(change.mRun(*store.value()));
      store.value().reset();
      CPPUNIT_ASSERT(Recovered(*OpenStore(files, directory).value()) == change.mAfter);
    }
    CPPUNIT_ASSERT(!files.Open(directory + "/missing", OpenMode::Append));
    CPPUNIT_ASSERT(LogStore::Discard(files, directory));
    CPPUNIT_ASSERT(files.List(directory).value().empty());
    std::filesystem::remove_all(directory);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

} // namespace

} // namespace dandelionslip
