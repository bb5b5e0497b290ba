// The replicated state machine: applies operators' commands to the configuration.
#pragma once

#include "dandelionslip/Control/ConfigurationStoreState.h"

#include <optional>
#include <string>

namespace dandelionslip {

/// Applies committed commands in log order. Deterministic: equal entries give equal state and
/// answers on every replica. Not thread-safe.
class ConfigurationStore
{
public:
  /// Applies the command of log entry aIndex, whole or not at all. A command whose publication id
  /// has a kept answer gets that answer again. An entry at or below the last applied index changes
  /// nothing.
  CommandAnswer Apply(std::uint64_t aIndex, const Command& aCommand);

  /// The configuration in force; its revision is the index of the last entry that changed it.
  const Configuration& Current() const { return mState.mConfiguration; }

  /// Text of the route table in force, as its operator published it; empty before the first.
  const std::string& RouteDocument() const { return mState.mRouteDocument; }

  /// The kept answer to a publication id.
  std::optional<CommandAnswer> AnswerFor(const std::string& aPublicationId) const;

  /// Index of the last entry seen by Apply.
  std::uint64_t AppliedIndex() const { return mState.mAppliedIndex; }

  /// The whole state, including kept answers.
  Json Snapshot() const;

  /// Replaces the whole state. InvalidInput: malformed or inconsistent; Conflict: the snapshot is
  /// older than the state. Nothing changes on an error.
  Result<void> Restore(const Json& aSnapshot);

private:
  CommandAnswer ApplyNew(std::uint64_t aIndex, const Command& aCommand);
  void KeepAnswer(std::uint64_t aIndex, const Command& aCommand, const CommandAnswer& aAnswer);
  void EvictAnswers();
  void IndexAnswers();

  ConfigurationStoreState mState;
  std::map<std::string, CommandAnswer> mAnswerById;
};

/// Checks a new command's issue time against the wall clock. Called by the leader before the
/// append, because the state machine has no clock. InvalidInput: the issue time is more than 5
/// minutes in the future (other kept answers would then look too old and be evicted too early), or
/// longer ago than kAnswerRetentionMs.
Result<void> CheckIssueTime(const Command& aCommand, std::int64_t aNowMs);

} // namespace dandelionslip
