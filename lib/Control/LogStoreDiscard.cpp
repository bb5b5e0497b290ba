// Removal of a store.
#include "dandelionslip/Control/LogStore.h"

#include "LogStoreFormat.h"

#include <boost/outcome/try.hpp>

namespace dandelionslip {

namespace {

bool IsStoreFile(std::string_view aName)
{
  return aName == kIdentityName || aName == kHardStateName || aName.starts_with(kSnapshotPrefix) ||
         aName.starts_with(kSegmentPrefix) || aName.ends_with(kTemporarySuffix);
}

} // namespace

Status LogStore::Discard(FileSystem& aFiles, const std::string& aDirectory)
{
  const std::string marker = aDirectory + "/" + std::string(kDiscardName);
  BOOST_OUTCOME_TRY(const FileHandle file, aFiles.Open(marker, OpenMode::Create));
  Status synced = aFiles.Sync(file);
  aFiles.Close(file);
  BOOST_OUTCOME_TRY(std::move(synced));
  return FinishDiscard(aFiles, aDirectory);
}

// A loss of power may bring back any subset of the names that were removed since the last sync, so
// the marker is durable before the first removal and removed after the last one is durable.
Status LogStore::FinishDiscard(FileSystem& aFiles, const std::string& aDirectory)
{
  BOOST_OUTCOME_TRY(aFiles.SyncDirectory(aDirectory));
  BOOST_OUTCOME_TRY(const auto names, aFiles.List(aDirectory));
  for (const std::string& name : names) {
    if (IsStoreFile(name)) {
      BOOST_OUTCOME_TRY(aFiles.Remove(aDirectory + "/" + name));
    }
  }
  BOOST_OUTCOME_TRY(aFiles.SyncDirectory(aDirectory));
  BOOST_OUTCOME_TRY(aFiles.Remove(aDirectory + "/" + std::string(kDiscardName)));
  return aFiles.SyncDirectory(aDirectory);
}

} // namespace dandelionslip
