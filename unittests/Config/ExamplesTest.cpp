// Tests of the example files and of corrupted copies of them.
#include "dandelionslip/Config/LoadSettings.h"
#include "dandelionslip/Config/Publication.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>

namespace dandelionslip {

namespace {

namespace fs = std::filesystem;

struct Deployment
{
  std::string mFolder;
  std::vector<std::string> mDataCentres;
  std::vector<std::string> mServices;
  std::uint32_t mSlots;
};

const std::vector<Deployment> kDeployments{
  {"kongsi-rekabilik", {"klang-a", "klang-b", "klang-c"}, {"planner", "render"}, 4},
  {"kyushu-guides", {"fukuoka", "kumamoto", "kagoshima"}, {"guide-desk", "ledger-out"}, 2},
};

fs::path FolderOf(const Deployment& aDeployment)
{
  return fs::path(EXAMPLES_DIR) / aDeployment.mFolder;
}

template <typename T>
T Load(const Deployment& aDeployment, const std::string& aName)
{
  const fs::path path = FolderOf(aDeployment) / "settings" / (aName + ".json");
  const auto settings = LoadSettings<T>(path.string());
  CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().Message(), settings.has_value());
  return settings.value();
}

template <typename T>
Result<T> Parse(std::string_view aText)
{
  if constexpr (std::is_same_v<T, ServiceSpec>) {
    return ParseServiceSpec(aText, "altered");
  } else {
    return ParseSettings<T>(aText, "altered");
  }
}

// Whether the text parses. Checks that an error names its source, and that a parsed value is equal
// after it has been written and parsed again.
template <typename T>
bool Accepts(std::string_view aText)
{
  const auto value = Parse<T>(aText);
  if (!value) {
    CPPUNIT_ASSERT_EQUAL(std::string("altered"), value.error().mSubject);
    return false;
  }
  const auto again = Parse<T>(ToJson(value.value()).dump());
  CPPUNIT_ASSERT_MESSAGE(std::string(aText), again && again.value() == value.value());
  return true;
}

using Acceptor = bool (*)(std::string_view);

// The first entry whose text occurs in a file name determines how the file is parsed.
constexpr std::pair<std::string_view, Acceptor> kAcceptors[] = {
  {kServiceFileSuffix, &Accepts<ServiceSpec>},
  {"control-", &Accepts<ControlSettings>},
  {"balancer-", &Accepts<BalancerSettings>},
  {"agent-", &Accepts<AgentSettings>},
};

std::string CorruptedCopy(std::string aText, Random& aRandom)
{
  static constexpr std::string_view kSyntaxCharacters = "{}[]\",:/*0-9.eE\\\n";
  for (std::uint64_t change = aRandom.Below(4); change > 0 && !aText.empty(); --change) {
    const std::size_t at = aRandom.Below(aText.size());
    const char syntaxCharacter = kSyntaxCharacters[aRandom.Below(kSyntaxCharacters.size())];
    const char byte = aRandom.Below(2) == 0 ? syntaxCharacter : static_cast<char>(aRandom.Next());
    const auto action = aRandom.Below(4);
    if (action == 0) {
      aText.resize(at);
    } else if (action == 1) {
      aText.erase(at, 1 + aRandom.Below(8));
    } else { // 2 inserts the byte, 3 replaces one.
      aText.replace(at, action - 2, 1, byte);
    }
  }
  return aText;
}

class ExamplesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(ServicesHaveExpectedSizes);
  CPPUNIT_TEST(NodesListAllReplicas);
  CPPUNIT_TEST(CorruptedFilesDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

  // Guards against example services that have wrong sizes or cannot be published.
  void ServicesHaveExpectedSizes()
  {
    for (const Deployment& deployment : kDeployments) {
      std::vector<std::string> folders;
      for (const std::string& service : deployment.mServices) {
        folders.push_back((FolderOf(deployment) / service).string());
      }
      const auto files = LoadServiceFiles(folders);
      CPPUNIT_ASSERT_MESSAGE(files ? "" : files.error().Message(), files.has_value());
      CPPUNIT_ASSERT_EQUAL(deployment.mServices.size(), files.value().size());
      for (std::size_t i = 0; i < files.value().size(); ++i) {
        CPPUNIT_ASSERT_EQUAL(deployment.mServices[i], files.value()[i].mSpec.mName);
        CPPUNIT_ASSERT_EQUAL(deployment.mSlots, files.value()[i].mSpec.mSlots);
        CPPUNIT_ASSERT_EQUAL(2000U, files.value()[i].mSpec.mConnections);
      }
      const PublicationIdentity identity{"0190163d-8694-739b-aea5-966c26f8ad91", "aminah", 1};
      CPPUNIT_ASSERT(BuildPublicationCommand(identity, files.value()).has_value());
    }
  }

  // Guards against replicas with different lists of the Raft group, and against nodes that start
  // but find no control replica.
  void NodesListAllReplicas()
  {
    for (const Deployment& deployment : kDeployments) {
      std::set<std::set<std::string>> groups;
      std::map<std::string, std::string> controls;
      for (const std::string& dataCentre : deployment.mDataCentres) {
        const auto control = Load<ControlSettings>(deployment, "control-" + dataCentre);
        controls[dataCentre] = control.mEndpoint;
        std::set<std::string> group{control.mNode + " " + control.mEndpoint};
        for (const PeerSettings& peer : control.mPeers) {
          group.insert(peer.mName + " " + peer.mEndpoint);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), group.size());
        groups.insert(group);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), groups.size());
      const auto check = [&](const CommonSettings& aNode) {
        CPPUNIT_ASSERT_EQUAL(controls[aNode.mDataCentre], aNode.mControlEndpoints.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), aNode.mControlEndpoints.size());
        for (const auto& [dataCentre, endpoint] : controls) {
          CPPUNIT_ASSERT_EQUAL(
            std::ptrdiff_t(1),
            std::count(aNode.mControlEndpoints.begin(), aNode.mControlEndpoints.end(), endpoint));
        }
      };
      for (const std::string& dataCentre : deployment.mDataCentres) {
        check(Load<BalancerSettings>(deployment, "balancer-" + dataCentre));
      }
      for (const std::string& service : deployment.mServices) {
        const auto agent = Load<AgentSettings>(deployment, "agent-" + service + "-1");
        CPPUNIT_ASSERT_EQUAL(service, agent.mService);
        check(agent);
      }
    }
  }

  // Guards against crashes on corrupted files, and against accepted values that cannot be written
  // and parsed again.
  void CorruptedFilesDoNotCrash()
  {
    constexpr std::uint64_t kSeeds = 500;
    std::size_t files = 0;
    for (const auto& entry : fs::recursive_directory_iterator(EXAMPLES_DIR)) {
      if (!entry.is_regular_file()) {
        continue;
      }
      const std::string name = entry.path().filename().string();
      const auto* acceptor =
        std::find_if(std::begin(kAcceptors), std::end(kAcceptors), [&](const auto& aPair) {
          return name.find(aPair.first) != std::string::npos;
        });
      CPPUNIT_ASSERT_MESSAGE(name, acceptor != std::end(kAcceptors));
      const Acceptor accepts = acceptor->second;
      const std::string text = ReadTextFile(entry.path().string()).value();
      CPPUNIT_ASSERT(accepts(text));
      std::size_t rejected = 0;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Random random(seed);
        rejected += accepts(CorruptedCopy(text, random)) ? 0 : 1;
      }
      CPPUNIT_ASSERT(rejected > kSeeds / 4 && rejected < kSeeds);
      ++files;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), files);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

} // namespace

} // namespace dandelionslip
