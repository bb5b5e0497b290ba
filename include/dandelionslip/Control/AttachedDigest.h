// Digest by which a replica and the leader agree on the attached nodes.
#pragma once

#include "dandelionslip/Model/Announcement.h"

#include <string>

namespace dandelionslip {

/// Identifies an announcement in a summary; the view revision does not count, because it changes on
/// every node with every view and the leader does not need it.
std::uint64_t DigestOf(const Announcement& aAnnouncement);

/// Digest over a set of attached nodes, which are added in order of their names.
class AttachedDigest
{
public:
  void Add(const std::string& aName, std::uint64_t aDigest);
  std::uint64_t Value() const { return mValue; }

private:
  std::uint64_t mValue = 0;
};

} // namespace dandelionslip
