// Operators' requests to the control replicas.
#pragma once

#include "dandelionslip/Control/RaftMembership.h"
#include "dandelionslip/Model/Command.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <memory>
#include <string>
#include <vector>

namespace dandelionslip {

/// Blocking client for one command-line invocation.
class OperatorClient
{
public:
  /// aEndpoints are "address:port" of control replicas.
  explicit OperatorClient(std::vector<std::string> aEndpoints);
  ~OperatorClient();

  /// Sends a command to the replicas in turn until one decides it or aTimeout has passed. The
  /// publication id stays the same, so the command is applied at most once. The outcome is
  /// NotApplied only if no replica can have appended the command.
  CommandAnswer Send(const Command& aCommand, Milliseconds aTimeout);

  /// Proposes a change of the Raft group's membership to the replicas in turn until one decides it
  /// or aTimeout has passed.
  CommandAnswer Send(const RaftMembershipChange& aChange, Milliseconds aTimeout);

  /// The status of each replica, or the error if it does not answer, keyed by endpoint. aTimeout
  /// applies to each replica.
  Json Status(Milliseconds aTimeout);

  /// The configuration of the first replica whose state a quorum has confirmed. aTimeout applies to
  /// each replica. Without such a replica it fails with the last transport or decoding error, or
  /// with Unavailable if all replicas answered.
  Result<Configuration> FetchConfiguration(Milliseconds aTimeout);

private:
  struct State;
  CommandAnswer SendUntilDecided(const std::string& aPath, const Bytes& aBody,
                                 Milliseconds aTimeout);
  Result<Bytes> Post(const std::string& aEndpoint, const std::string& aPath, Bytes aBody,
                     Milliseconds aTimeout);

  std::vector<std::string> mEndpoints;
  std::unique_ptr<State> mState;
};

} // namespace dandelionslip
