// The configuration and view that a node holds, taken from answers to its announcements.
#pragma once

#include "dandelionslip/Model/Announcement.h"

namespace dandelionslip {

/// Holds the newest accepted configuration and view. Not thread-safe.
class NodeState
{
public:
  /// Takes over what the answer carries: whole states or differences, each only when it leads to a
  /// higher revision. A lower or equal revision is ignored. InvalidInput: an unconfirmed answer
  /// carries state; Conflict: a difference starts at another revision. Nothing changes on an error.
  Result<void> Apply(const AnnouncementAnswer& aAnswer);

  const Configuration& CurrentConfiguration() const { return mConfiguration; }
  const View& CurrentView() const { return mView; }

private:
  Configuration mConfiguration;
  View mView;
};

} // namespace dandelionslip
