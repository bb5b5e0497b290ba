// Coordinates the requests of an agent: record before run, queue, slots, alternate, answers.
#pragma once

#include "dandelionslip/Request/AgentRequestActions.h"
#include "dandelionslip/Request/RequestCounters.h"
#include "dandelionslip/Request/RequestRecords.h"
#include "dandelionslip/Request/SlotAdmission.h"

#include <functional>
#include <memory>
#include <set>

namespace dandelionslip {

/// Settings of one agent's request handling.
struct AgentRequestSettings
{
  std::string mSelf; ///< Member name of this agent.
  std::uint64_t mIncarnation = 0;
  std::uint32_t mBuckets = 1024;
  std::uint32_t mSlots = 4;
  RecordLimits mRecords;
  Milliseconds mHopAllowance{2}; ///< Taken off the remaining time at each hop.
  std::size_t mMaxHeld = 256;    ///< Requests that wait for a bucket hand-off.
};

/// The agent that a bucket's requests go to when this one is full.
struct AlternateAgent
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
};

/// The alternate of a bucket in the newest view, or no value.
using AlternateLookup = std::function<std::optional<AlternateAgent>(std::uint32_t aBucket)>;

/// Decision core of the home agent. Not thread-safe; every event returns the actions to perform in
/// order. Starts without a valid lease and without buckets.
class AgentRequestCore
{
public:
  /// aSlots and aRegistry outlive the core.
  AgentRequestCore(AgentRequestSettings aSettings, SlotAdmission& aSlots,
                   AlternateLookup aAlternate, MetricsRegistry& aRegistry);
  ~AgentRequestCore();

  /// A request arrived from a balancer or, relayed, from another home agent.
  AgentRequestActions OnRequest(ReceivedRequest aRequest, const RequestTime& aTime);
  /// The sender of a message withdrew it or its link was lost.
  AgentRequestActions OnCancel(ReplyHandle aHandle, const RequestTime& aTime);

  /// The upstream's answer ended, whole or cut short.
  AgentRequestActions OnUpstreamAnswer(RunId aRun, const ReceivedAnswer& aAnswer,
                                       const RequestTime& aTime);
  /// The upstream refused the run and certainly did not start it.
  AgentRequestActions OnUpstreamShed(RunId aRun, const Refusal& aRefusal, const RequestTime& aTime);
  /// The run ended without an answer; it may have happened.
  AgentRequestActions OnUpstreamFailed(RunId aRun, const RequestTime& aTime);

  /// The alternate's agent answered a relayed request. aReceived is checked for completeness when
  /// the outcome is Answered.
  AgentRequestActions OnAlternateAnswer(RunId aRun, RequestOutcome aOutcome,
                                        const Refusal& aRefusal, const ReceivedAnswer& aReceived,
                                        const RequestTime& aTime);
  /// The link to the alternate failed; aSent tells whether any of the request was sent.
  AgentRequestActions OnAlternateLinkFailed(RunId aRun, bool aSent, const RequestTime& aTime);

  AgentRequestActions OnLease(bool aValid, const RequestTime& aTime);
  /// Stops taking requests; running and queued ones are finished.
  AgentRequestActions OnPlannedStop(const RequestTime& aTime);
  /// Ends what is overdue, expires records and starts queued requests. Call at least every 10 ms
  /// while Active() is true.
  AgentRequestActions OnTick(const RequestTime& aTime);

  /// This agent became the owner of a bucket in aGeneration; non-idempotent requests wait until its
  /// history is settled by OnHandoff or OnPreviousOwnerLost.
  AgentRequestActions OnBucketAcquired(std::uint32_t aBucket, std::uint32_t aGeneration,
                                       const RequestTime& aTime);
  /// The bucket never had an owner before aGeneration.
  AgentRequestActions OnBucketFirstOwner(std::uint32_t aBucket, std::uint32_t aGeneration,
                                         const RequestTime& aTime);
  /// The hand-off message of the previous owner arrived.
  Result<AgentRequestActions> OnHandoff(const Json& aHandoff, std::string_view aPeer,
                                        const RequestTime& aTime);
  /// The previous owner's lease has ended and it cannot hand over. Has an effect only on a bucket
  /// that was acquired and is incomplete, so it is reported again when a bucket is acquired later.
  AgentRequestActions OnPreviousOwnerLost(std::uint32_t aBucket, const RequestTime& aTime);
  /// Another agent owns the bucket in aGeneration and will not ask this agent for it: either this
  /// agent's lease had ended, or the agent that was to ask was lost. In the first case it has to be
  /// reported before the lease is reported valid again, in the second before aGeneration's owner
  /// hears of OnPreviousOwnerLost.
  AgentRequestActions OnBucketDropped(std::uint32_t aBucket, std::uint32_t aGeneration,
                                      const RequestTime& aTime);
  /// The owner in aGeneration asks for buckets; from here on this agent decides about no new id in
  /// them. Errors as RequestRecords::FreezeAndExport; the new owner asks again later.
  Result<Json> FreezeAndExport(const std::set<std::uint32_t>& aBuckets,
                               const std::string& aNewOwner, std::uint32_t aGeneration,
                               const RequestTime& aTime);
  /// A record that ended at the previous owner after the hand-off.
  Result<AgentRequestActions> OnRecordUpdate(const Json& aRecord, std::string_view aPeer,
                                             const RequestTime& aTime);
  /// An agent's lease has ended; requests it was still running are unknown.
  AgentRequestActions OnAgentLost(const std::string& aAgent, const RequestTime& aTime);

  /// The table for the next process of this agent, and loading it there.
  Json ExportAll(const RequestTime& aTime);
  Result<void> ImportAll(const Json& aTable, std::string_view aPeer);

  /// Whether requests are queued, running or held.
  bool Active() const;
  std::size_t Running() const;
  std::size_t Queued() const;
  const RequestRecords& Records() const;

private:
  struct Internals;

  std::unique_ptr<Internals> mInternals;
};

} // namespace dandelionslip
