// Interface between a control replica and a platform's adapter, which serves the platform's own
// operator API.
#pragma once

#include "dandelionslip/Model/Command.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// The sender of a command. One that gets no answer may send the command to another replica.
struct CommandSender
{
  /// When this replica accepted the connection on which the command came, and no other command
  /// before it. The command may have been sent at any time since.
  TimePoint mConnectedAt;
  std::function<bool()> mWaits; ///< Whether the connection is still open.
};

/// The functions of a replica that its adapter calls. Thread-safe.
class ControlInterface
{
public:
  virtual ~ControlInterface() = default;

  /// Proposes the command at this replica if it leads, else at the leader, and resends it under the
  /// same publication id until it is decided or SubmittedCommand::kTimeout has passed. A command
  /// that a newer one may have overtaken (SubmittedCommand::MayBeOvertaken) is not sent when its
  /// sender no longer waits, or when it may have been on its way for that long. The callback runs
  /// once.
  virtual void Submit(Command aCommand, CommandSender aSender,
                      std::function<void(const CommandAnswer&)> aCallback) = 0;

  /// The published text of the newest route table. Errors: Unavailable when no quorum has confirmed
  /// recently that this replica's state is the newest; NotFound before the first publication.
  virtual Result<std::string> ConfirmedRouteDocument() = 0;

  virtual boost::asio::io_context& Loop() = 0;
};

/// An adapter; it lives as long as its replica.
class ControlAdapter
{
public:
  virtual ~ControlAdapter() = default;
};

/// Creates the adapter, for example by opening its listener.
using ControlAdapterFactory =
  std::function<Result<std::unique_ptr<ControlAdapter>>(ControlInterface&)>;

} // namespace dandelionslip
