// A command that an adapter has submitted, until it is decided.
#pragma once

#include "dandelionslip/Control/DataCentreChanges.h"
#include "dandelionslip/Model/Command.h"
#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// When a command came.
struct CommandTimes
{
  TimePoint mConnectedAt; ///< When its connection was accepted.
  TimePoint mSentAt;      ///< The earliest time at which it may have been sent.
  TimePoint mReadAt;
};

/// Bounds how late a copy of a command can act. A route table carries a version, so a late copy of
/// it changes nothing. A change of a data centre may carry none: while the network or a process
/// held it up, its sender may have sent it to another replica, and a newer one after that, which a
/// late copy would undo. Such a command is sent to the leader only while its sender may still wait,
/// and expects the version that the data centre had when its connection was made.
class SubmittedCommand
{
public:
  /// aState is the newest configuration of this replica, and aChanges says when it learned of it.
  SubmittedCommand(Command aCommand, const Configuration& aState, const DataCentreChanges& aChanges,
                   const CommandTimes& aTimes);

  /// The command as it is sent to the leader; a publication id is applied once.
  const Bytes& Encoded() const { return mEncoded; }

  /// Whether the command carried no version, so that it must not be sent once its sender has left.
  bool MayBeOvertaken() const { return mMayBeOvertaken; }

  /// Whether no further copy may be sent, because the sender no longer waits for the answer.
  bool Expired(TimePoint aNow) const { return aNow >= mDeadline; }

  /// Whether the answer leaves the command undecided, so that it may be sent again.
  static bool Undecided(const CommandAnswer& aAnswer);

  /// Senders try another replica after a second.
  static constexpr Milliseconds kTimeout{900};

private:
  Bytes mEncoded;
  TimePoint mDeadline;
  bool mMayBeOvertaken = false;
};

} // namespace dandelionslip
