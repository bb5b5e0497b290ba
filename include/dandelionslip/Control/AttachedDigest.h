// Digest by which the leader checks that it knows all attached nodes of a replica.
#pragma once

#include "dandelionslip/Model/Announcement.h"

#include <string>

namespace dandelionslip {

/// Hash of an announcement without its view revision. The leader does not need the revision, and it
/// changes on every node with every view.
std::uint64_t DigestOf(const Announcement& aAnnouncement);

/// Digest over a set of attached nodes, which must be added in the order of their names.
class AttachedDigest
{
public:
  void Add(const std::string& aName, std::uint64_t aDigest);
  std::uint64_t Value() const { return mValue; }

private:
  std::uint64_t mValue = 0;
};

} // namespace dandelionslip
