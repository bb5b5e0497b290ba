// Checks that concurrent publications of several operators are linearizable.
#include "ControlFixtures.h"
#include "Linearizability.h"

#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

namespace dandelionslip {

namespace {

constexpr std::size_t kOperators = 4;
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kOperationsEach = 8;

// Ids of the runs stay below this; a store under test may add multiples of it.
constexpr std::uint64_t kIdRange = 4096;

std::uint64_t WinnerIn(const std::string& aDetail)
{
  const std::string marker = "publication 00000000-0000-4000-8000-";
  const auto found = aDetail.find(marker);
  if (found == std::string::npos) {
    return 0;
  }
  constexpr int kHexadecimal = 16;
  return std::stoull(aDetail.substr(found + marker.size(), 12), nullptr, kHexadecimal) % kIdRange;
}

RegisterState StateOf(const ConfigurationStore& aStore, std::uint64_t aLastWriter)
{
  const ServiceEntry* entry = aStore.Current().FindService("planner");
  return entry == nullptr ? RegisterState{} : RegisterState{entry->mSpec.mVersion, aLastWriter};
}

// Operators read and publish one service through a log that three replicas apply at different
// speeds. Answers are lost and commands sent again; replicas restart from each other's snapshots.
class ConcurrentRun
{
public:
  using Applier = std::function<CommandAnswer(ConfigurationStore&, std::uint64_t, const Command&)>;

  ConcurrentRun(std::uint64_t aSeed, Applier aApply)
    : mRandom(aSeed)
    , mApply(std::move(aApply))
  {
  }

  std::vector<RegisterOperation> Run()
  {
    while (mHistory.size() < kOperators * kOperationsEach || AnyClientBusy()) {
      ++mTime;
      Client& client = mClients[mRandom.Below(kOperators)];
      client.mBusy ? Continue(client) : Begin(client);
      ApplyNext(mRandom.Below(kReplicas));
      if (mRandom.Below(40) == 0) {
        RestartReplica(mRandom.Below(kReplicas), mRandom.Below(kReplicas));
      }
    }
    return mHistory;
  }

private:
  struct Entry
  {
    std::size_t mOperation = 0;
    std::optional<Command> mCommand; ///< Empty for a read.
    std::optional<CommandAnswer> mAnswer;
    RegisterState mState; ///< After the entry.
  };

  struct Client
  {
    bool mBusy = false;
    std::size_t mOperation = 0;
    std::size_t mEntry = 0;
    std::uint64_t mVersion = 0;
    std::optional<Command> mCommand;
  };

  struct Replica
  {
    ConfigurationStore mStore;
    std::size_t mApplied = 0;
    std::uint64_t mWriter = 0;
  };

  bool AnyClientBusy() const
  {
    return std::any_of(mClients.begin(), mClients.end(),
                       [](const Client& aClient) { return aClient.mBusy; });
  }

  void Append(Client& aClient)
  {
    aClient.mEntry = mLog.size();
    mLog.push_back({aClient.mOperation, aClient.mCommand, {}, {}});
  }

  void Begin(Client& aClient)
  {
    if (mHistory.size() >= kOperators * kOperationsEach) {
      return;
    }
    aClient.mBusy = true;
    aClient.mOperation = mHistory.size();
    RegisterOperation operation;
    operation.mInvoked = mTime;
    operation.mOutcome = RegisterOutcome::Read;
    aClient.mCommand.reset();
    if (mRandom.Below(3) != 0) {
      operation.mWriter = ++mLastId;
      operation.mExpected = aClient.mVersion;
      operation.mOutcome = RegisterOutcome::Unknown;
      aClient.mCommand =
        PublishCommand(mLastId, TestSpec("planner", aClient.mVersion + 1, "192.0.2.1:80"));
    }
    mHistory.push_back(operation);
    Append(aClient);
  }

  void Continue(Client& aClient)
  {
    const Entry& entry = mLog[aClient.mEntry];
    if (!entry.mAnswer) {
      return;
    }
    const std::uint64_t event = mRandom.Below(10);
    if (event < 3) {
      // The answer is lost; the operator sends the command again under the same id.
      Append(aClient);
      return;
    }
    aClient.mBusy = false;
    if (event == 3 && aClient.mCommand) {
      return; // The operator gives up without an answer.
    }
    Finish(aClient, entry);
  }

  void Finish(Client& aClient, const Entry& aEntry)
  {
    RegisterOperation& operation = mHistory[aClient.mOperation];
    operation.mReturned = mTime;
    if (!aClient.mCommand) {
      operation.mSeen = aEntry.mState;
      aClient.mVersion = aEntry.mState.mVersion;
      return;
    }
    const bool applied = aEntry.mAnswer->mOutcome == CommandOutcome::Applied;
    operation.mOutcome = applied ? RegisterOutcome::Applied : RegisterOutcome::Conflict;
    operation.mSeen.mWriter = WinnerIn(aEntry.mAnswer->mDetail);
    aClient.mVersion = applied ? operation.mExpected + 1 : mRandom.Below(aClient.mVersion + 3);
  }

  void ApplyNext(std::size_t aReplica)
  {
    Replica& replica = mReplicas[aReplica];
    if (replica.mApplied == mLog.size()) {
      return;
    }
    Entry& entry = mLog[replica.mApplied++];
    CommandAnswer answer;
    if (entry.mCommand) {
      const std::uint64_t before = StateOf(replica.mStore, 0).mVersion;
      answer = mApply(replica.mStore, replica.mApplied, *entry.mCommand);
      if (StateOf(replica.mStore, 0).mVersion != before) {
        replica.mWriter = mHistory[entry.mOperation].mWriter;
      }
    }
    const RegisterState state = StateOf(replica.mStore, replica.mWriter);
    CPPUNIT_ASSERT_MESSAGE("replicas differ",
                           !entry.mAnswer || (*entry.mAnswer == answer && entry.mState == state));
    entry.mAnswer = answer;
    entry.mState = state;
  }

  void RestartReplica(std::size_t aReplica, std::size_t aSource)
  {
    const Replica& source = mReplicas[aSource];
    if (source.mApplied < mReplicas[aReplica].mApplied) {
      return;
    }
    Replica restarted;
    CPPUNIT_ASSERT(restarted.mStore.Restore(source.mStore.Snapshot()));
    restarted.mApplied = source.mApplied;
    restarted.mWriter = source.mWriter;
    mReplicas[aReplica] = std::move(restarted);
  }

  Random mRandom;
  Applier mApply;
  std::uint64_t mTime = 0;
  std::uint64_t mLastId = 0;
  std::array<Client, kOperators> mClients;
  std::array<Replica, kReplicas> mReplicas;
  std::vector<Entry> mLog;
  std::vector<RegisterOperation> mHistory;
};

class PublicationHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PublicationHistoryTest);
  CPPUNIT_TEST(CheckerRejectsWrongHistories);
  CPPUNIT_TEST(CheckerRejectsAStoreWithoutVersionCheck);
  CPPUNIT_TEST(CheckerRejectsAStoreThatForgetsAnswers);
  CPPUNIT_TEST(ConcurrentPublicationsAreLinearizable);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a checker that accepts everything.
  void CheckerRejectsWrongHistories()
  {
    const RegisterOperation first{1, 4, 0, 1, RegisterOutcome::Applied, {}};
    const RegisterOperation second{2, 5, 0, 2, RegisterOutcome::Applied, {}};
    const RegisterOperation conflict{2, 5, 0, 2, RegisterOutcome::Conflict, {0, 1}};
    const RegisterOperation unknown{2, kNeverReturned, 0, 2, RegisterOutcome::Unknown, {}};
    const RegisterOperation readEarly{3, 6, 0, 0, RegisterOutcome::Read, {0, 0}};
    const RegisterOperation readLate{5, 6, 0, 0, RegisterOutcome::Read, {0, 0}};
    CPPUNIT_ASSERT(IsLinearizable({first, conflict}));
    CPPUNIT_ASSERT(IsLinearizable({first, unknown}));
    CPPUNIT_ASSERT(IsLinearizable({first, readEarly}));
    CPPUNIT_ASSERT(!IsLinearizable({first, second}));
    CPPUNIT_ASSERT(!IsLinearizable({first, readLate}));
    auto wrongWinner = conflict;
    wrongWinner.mSeen.mWriter = 3;
    CPPUNIT_ASSERT(!IsLinearizable({first, wrongWinner}));
    auto spuriousConflict = conflict;
    spuriousConflict.mReturned = 2;
    spuriousConflict.mInvoked = 0;
    CPPUNIT_ASSERT(!IsLinearizable({{3, 4, 0, 1, RegisterOutcome::Applied, {}}, spuriousConflict}));
    const RegisterOperation readOfUnknown{3, 4, 0, 0, RegisterOutcome::Read, {1, 2}};
    CPPUNIT_ASSERT(IsLinearizable({unknown, readOfUnknown}));
    CPPUNIT_ASSERT(!IsLinearizable({unknown, readOfUnknown, readLate}));
  }

  template <typename F>
  static std::size_t NonLinearizableRuns(F aApply)
  {
    std::size_t notLinearizable = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      notLinearizable += IsLinearizable(ConcurrentRun(seed, aApply).Run()) ? 0 : 1;
    }
    return notLinearizable;
  }

  // Guards against runs without conflicting publications, which would prove nothing.
  void CheckerRejectsAStoreWithoutVersionCheck()
  {
    const auto overwrite = [](ConfigurationStore& aStore, std::uint64_t aIndex, Command aCommand) {
      const ServiceEntry* entry = aStore.Current().FindService("planner");
      ServiceChange& change = aCommand.mServices[0];
      change.mExpectedVersion = entry != nullptr ? entry->mSpec.mVersion : 0;
      change.mSpec->mVersion = change.mExpectedVersion + 1;
      return aStore.Apply(aIndex, aCommand);
    };
    CPPUNIT_ASSERT(NonLinearizableRuns(overwrite) > 190);
  }

  // Guards against runs without resends, which would prove nothing about lost answers.
  void CheckerRejectsAStoreThatForgetsAnswers()
  {
    const auto forget = [](ConfigurationStore& aStore, std::uint64_t aIndex, Command aCommand) {
      const std::string number = aCommand.mPublicationId.substr(24);
      aCommand.mPublicationId = PublicationId(std::stoull(number, nullptr, 16) + kIdRange * aIndex);
      return aStore.Apply(aIndex, aCommand);
    };
    CPPUNIT_ASSERT(NonLinearizableRuns(forget) > 100);
  }

  // Guards against two operators who publish the same version and both succeed, and against a
  // resend that gets another answer than the first one.
  void ConcurrentPublicationsAreLinearizable()
  {
    const auto apply = [](ConfigurationStore& aStore, std::uint64_t aIndex,
                          const Command& aCommand) { return aStore.Apply(aIndex, aCommand); };
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, NonLinearizableRuns(apply));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationHistoryTest);

} // namespace

} // namespace dandelionslip
