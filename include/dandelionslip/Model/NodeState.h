// The configuration and view that a node has received in answers to its announcements.
#pragma once

#include "dandelionslip/Model/Announcement.h"

namespace dandelionslip {

/// The newest configuration and view of a node. Not thread-safe.
class NodeState
{
public:
  /// Applies the configuration and view that the answer carries, whole or as differences, each only
  /// when its revision is higher than the current one. Errors, which leave the state unchanged:
  /// InvalidInput when the answer carries state although mConfirmed is false, Conflict when a
  /// difference does not start at the current revision.
  Result<void> Apply(const AnnouncementAnswer& aAnswer);

  const Configuration& CurrentConfiguration() const { return mConfiguration; }
  const View& CurrentView() const { return mView; }

private:
  Configuration mConfiguration;
  View mView;
};

} // namespace dandelionslip
