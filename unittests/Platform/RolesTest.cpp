// Tests of what each role gets from the platform, with settings files as the platform writes them.
#include "Roles.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace dandelionslip::platform {

namespace {

using Strings = std::vector<std::string>;

// Only the values of the named role are filled in; the template leaves the others empty.
NodeFile CommonFile(const std::string& aNode)
{
  NodeFile file;
  file.mNode = aNode;
  file.mDataCentre = "north";
  file.mAddress = "10.1.0.1";
  file.mSeeds = {"10.1.0.1:8166", "10.2.0.1:8166"};
  file.mPeerPort = 7720;
  return file;
}

NodeFile ControlFile()
{
  NodeFile file = CommonFile("core-1");
  file.mControlEndpoint = "10.1.0.1:8166";
  file.mDataFolder = "/data/replica";
  file.mDisksLost = 2;
  return file;
}

NodeFile BalancerFile()
{
  NodeFile file = CommonFile("front-1");
  file.mPacketEndpoint = "10.1.0.1:8172";
  file.mReadyEndpoint = "10.1.0.1:8167";
  return file;
}

NodeFile AgentFile()
{
  NodeFile file = CommonFile("side-1");
  file.mPacketEndpoint = "10.1.0.1:8172";
  file.mReadyEndpoint = "10.1.0.1:8167";
  file.mControlEndpoint = "10.1.0.1:8166";
  file.mOutboundEndpoint = "10.1.0.1:8162";
  file.mUpstreamEndpoint = "10.1.0.1:8165";
  file.mService = "web";
  return file;
}

class RolesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RolesTest);
  CPPUNIT_TEST(EveryRoleReadsNewSeedsFromItsOwnFile);
  CPPUNIT_TEST(UnreadableFilesYieldNoSeeds);
  CPPUNIT_TEST_SUITE_END();

  std::string mPath =
    (std::filesystem::temp_directory_path() / ("roles-" + std::to_string(getpid()) + ".json"))
      .string();

  void Write(const NodeFile& aFile) const { std::ofstream(mPath) << ToJson(aFile).dump(); }

  void CheckReadsNewSeeds(NodeFile aFile, const SeedReader& aReader) const
  {
    Write(aFile);
    CPPUNIT_ASSERT(aReader() == Strings({"10.1.0.1:7720", "10.2.0.1:7720"}));
    aFile.mSeeds = {"10.3.0.9:8166"};
    Write(aFile);
    CPPUNIT_ASSERT(aReader() == Strings({"10.3.0.9:7720"}));
  }

public:
  void tearDown() override { std::filesystem::remove(mPath); }

  // Guards against a control replica that stays outside its group once the VMs that its first
  // seeds named are replaced, because its file lacks settings of another role.
  void EveryRoleReadsNewSeedsFromItsOwnFile()
  {
    CPPUNIT_ASSERT(ControlSettingsFrom(ControlFile()));
    CheckReadsNewSeeds(ControlFile(), ControlPlatform(ControlFile(), mPath).mReadSeeds);
    CPPUNIT_ASSERT(BalancerSettingsFrom(BalancerFile()));
    CheckReadsNewSeeds(BalancerFile(), BalancerPlatform(BalancerFile(), mPath).mReadSeeds);
    CPPUNIT_ASSERT(AgentSettingsFrom(AgentFile()));
    CheckReadsNewSeeds(AgentFile(), AgentPlatform(AgentFile(), mPath).mReadSeeds);
  }

  // Guards against seeds that are lost while the file is missing or holds something else.
  void UnreadableFilesYieldNoSeeds()
  {
    const SeedReader reader = ControlPlatform(ControlFile(), mPath).mReadSeeds;
    CPPUNIT_ASSERT(reader().empty());
    std::ofstream(mPath) << "{";
    CPPUNIT_ASSERT(reader().empty());
    NodeFile file = ControlFile();
    file.mSeeds.clear();
    Write(file);
    CPPUNIT_ASSERT(reader().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolesTest);

} // namespace

} // namespace dandelionslip::platform
