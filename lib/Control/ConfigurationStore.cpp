// Applies commands, keeps their answers, and saves and restores the whole state.
#include "dandelionslip/Control/ConfigurationStore.h"

#include "CommandRules.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::int64_t kMaxIssueSkewMs = 5LL * 60 * 1000;

// Removes the oldest writers of deleted services beyond kMaxServices. The others are kept, so that
// an operator whose change conflicts with a deletion is told who deleted the service.
void PruneWriters(ConfigurationStoreState& aState)
{
  while (aState.mServiceWriters.size() > kMaxServices) {
    auto oldest = aState.mServiceWriters.end();
    for (auto it = aState.mServiceWriters.begin(); it != aState.mServiceWriters.end(); ++it) {
      const bool deleted = aState.mConfiguration.FindService(it->first) == nullptr;
      if (deleted && (oldest == aState.mServiceWriters.end() ||
                      it->second.mRevision < oldest->second.mRevision)) {
        oldest = it;
      }
    }
    aState.mServiceWriters.erase(oldest);
  }
}

void RecordWriters(ConfigurationStoreState& aState, std::uint64_t aIndex, const Command& aCommand)
{
  const LastWriter writer{aCommand.mPublicationId, aCommand.mOperator, aIndex};
  for (const ServiceChange& change : aCommand.mServices) {
    aState.mServiceWriters[change.mName] = writer;
  }
  if (aCommand.mDataCentre) {
    aState.mDataCentreWriters[aCommand.mDataCentre->mName] = writer;
  }
  PruneWriters(aState);
}

Result<void> Inconsistent(const std::string& aDetail)
{
  return Fail(ErrorCode::InvalidInput, "snapshot.check", "", aDetail);
}

Result<void> CheckAnswers(const ConfigurationStoreState& aState)
{
  if (aState.mAnswers.size() > kMaxAnswers) {
    return Inconsistent("answers: found more than " + std::to_string(kMaxAnswers));
  }
  std::set<std::string> ids;
  std::uint64_t last = 0;
  for (const KeptAnswer& kept : aState.mAnswers) {
    if (kept.mIndex <= last || kept.mIndex > aState.mAppliedIndex) {
      return Inconsistent("answers: found index " + std::to_string(kept.mIndex) +
                          ", expected increasing indexes up to the applied index");
    }
    last = kept.mIndex;
    if (!IsPublicationId(kept.mPublicationId) || !ids.insert(kept.mPublicationId).second) {
      return Inconsistent("answers: found publication id \"" + kept.mPublicationId +
                          "\" malformed or repeated");
    }
  }
  return Ok();
}

Result<void> CheckState(const ConfigurationStoreState& aState)
{
  if (aState.mConfiguration.mRevision > aState.mAppliedIndex) {
    return Inconsistent("configuration.revision: expected at most the applied index");
  }
  if (aState.mServiceWriters.size() > kMaxServices ||
      aState.mDataCentreWriters.size() > kMaxDataCentres) {
    return Inconsistent("service_writers, data_centre_writers: found more entries than services "
                        "and data centres are allowed");
  }
  if (auto check = CheckAnswers(aState); !check) {
    return check;
  }
  return CheckConfiguration(aState.mConfiguration);
}

} // namespace

CommandAnswer ConfigurationStore::Apply(std::uint64_t aIndex, const Command& aCommand)
{
  if (aIndex <= mState.mAppliedIndex) {
    const auto known = AnswerFor(aCommand.mPublicationId);
    return known.value_or(CommandAnswer{CommandOutcome::OutcomeUnknown, 0,
                                        "entry " + std::to_string(aIndex) +
                                          " was applied before, its answer is not kept"});
  }
  mState.mAppliedIndex = aIndex;
  if (const auto known = AnswerFor(aCommand.mPublicationId)) {
    return *known;
  }
  if (!IsPublicationId(aCommand.mPublicationId)) {
    return {CommandOutcome::Refused, 0, "publication_id: expected a UUID in lower case"};
  }
  if (aCommand.mIssuedMs < 0) {
    return {CommandOutcome::Refused, 0, "issued_ms: expected milliseconds since 1970"};
  }
  if (aCommand.mIssuedMs <= mState.mExpiredThroughMs) {
    return {CommandOutcome::Expired, 0,
            "issued_ms: found " + std::to_string(aCommand.mIssuedMs) + ", expected more than " +
              std::to_string(mState.mExpiredThroughMs) +
              ", because answers to older publications are no longer kept"};
  }
  return ApplyNew(aIndex, aCommand);
}

CommandAnswer ConfigurationStore::ApplyNew(std::uint64_t aIndex, const Command& aCommand)
{
  mState.mLogTimeMs = std::max(mState.mLogTimeMs, aCommand.mIssuedMs);
  EvictAnswers();
  if (mState.mAnswers.size() >= kMaxAnswers) {
    return {CommandOutcome::NotApplied, 0,
            "found " + std::to_string(kMaxAnswers) + " publications within 24 h, expected fewer"};
  }
  auto result = Evaluate(mState, aIndex, aCommand);
  if (auto* errorAnswer = std::get_if<CommandAnswer>(&result)) {
    KeepAnswer(aIndex, aCommand, *errorAnswer);
    return std::move(*errorAnswer);
  }
  auto& next = std::get<Configuration>(result);
  if (next.mRoutes.mVersion > mState.mConfiguration.mRoutes.mVersion) {
    mState.mRouteDocument = aCommand.mRoutes->mDocument;
  }
  mState.mConfiguration = std::move(next);
  RecordWriters(mState, aIndex, aCommand);
  CommandAnswer answer{CommandOutcome::Applied, aIndex, ""};
  KeepAnswer(aIndex, aCommand, answer);
  return answer;
}

void ConfigurationStore::KeepAnswer(std::uint64_t aIndex, const Command& aCommand,
                                    const CommandAnswer& aAnswer)
{
  mState.mAnswers.push_back({aCommand.mPublicationId, aCommand.mIssuedMs, aIndex, aAnswer});
  mAnswerById.emplace(aCommand.mPublicationId, aAnswer);
  EvictAnswers();
}

void ConfigurationStore::EvictAnswers()
{
  std::size_t evicted = 0;
  const std::int64_t oldestKept = mState.mLogTimeMs - kAnswerRetentionMs;
  while (mState.mAnswers.size() - evicted > kMinKeptAnswers &&
         mState.mAnswers[evicted].mIssuedMs < oldestKept) {
    const KeptAnswer& kept = mState.mAnswers[evicted];
    mState.mExpiredThroughMs = std::max(mState.mExpiredThroughMs, kept.mIssuedMs);
    mAnswerById.erase(kept.mPublicationId);
    ++evicted;
  }
  mState.mAnswers.erase(mState.mAnswers.begin(),
                        mState.mAnswers.begin() + static_cast<std::ptrdiff_t>(evicted));
}

std::optional<CommandAnswer> ConfigurationStore::AnswerFor(const std::string& aPublicationId) const
{
  const auto found = mAnswerById.find(aPublicationId);
  return found == mAnswerById.end() ? std::nullopt : std::optional(found->second);
}

Json ConfigurationStore::Snapshot() const
{
  return ToJson(mState);
}

Result<void> ConfigurationStore::Restore(const Json& aSnapshot)
{
  auto state = FromJson<ConfigurationStoreState>(aSnapshot, "snapshot");
  if (!state) {
    return state.as_failure();
  }
  if (state.value().mAppliedIndex < mState.mAppliedIndex) {
    return Fail(ErrorCode::Conflict, "snapshot.restore", "",
                "applied_index: found " + std::to_string(state.value().mAppliedIndex) +
                  ", expected at least " + std::to_string(mState.mAppliedIndex));
  }
  if (auto check = CheckState(state.value()); !check) {
    return check;
  }
  mState = std::move(state.value());
  IndexAnswers();
  return Ok();
}

void ConfigurationStore::IndexAnswers()
{
  mAnswerById.clear();
  for (const KeptAnswer& kept : mState.mAnswers) {
    mAnswerById.emplace(kept.mPublicationId, kept.mAnswer);
  }
}

Result<void> CheckIssueTime(const Command& aCommand, std::int64_t aNowMs)
{
  if (aCommand.mIssuedMs > aNowMs + kMaxIssueSkewMs) {
    return Fail(ErrorCode::InvalidInput, "command.check", aCommand.mOperator,
                "issued_ms: found a time more than 5 minutes in the future; check the clock");
  }
  if (aCommand.mIssuedMs < aNowMs - kAnswerRetentionMs) {
    return Fail(ErrorCode::InvalidInput, "command.check", aCommand.mOperator,
                "issued_ms: found a time more than 24 h ago, expected a new publication");
  }
  return Ok();
}

} // namespace dandelionslip
