// Digest of announcements and of sets of nodes.
#include "dandelionslip/Control/AttachedDigest.h"

#include "dandelionslip/Support/Hash.h"

namespace dandelionslip {

std::uint64_t DigestOf(const Announcement& aAnnouncement)
{
  Announcement covered = aAnnouncement;
  covered.mViewRevision = 0;
  return Hash64(ToCbor(covered));
}

void AttachedDigest::Add(const std::string& aName, std::uint64_t aDigest)
{
  mValue = CombineHash(mValue, CombineHash(Hash64(aName), aDigest));
}

} // namespace dandelionslip
