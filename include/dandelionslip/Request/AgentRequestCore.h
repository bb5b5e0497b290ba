// Request handling of an agent: records, queue, runs at the upstream, relay to the alternate.
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
  /// Time allowed for one hop: subtracted from the remaining time of each request that is sent on.
  Milliseconds mHopAllowance{2};
  std::size_t mMaxDeferred = 256; ///< Largest number of requests that wait for a bucket transfer.
};

/// The agent that a bucket's owner relays a request to when it can neither run nor queue it.
struct AlternateAgent
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
};

/// Looks up the alternate agent of a bucket in the newest view; no value when it has none.
using AlternateLookup = std::function<std::optional<AlternateAgent>(std::uint32_t aBucket)>;

/// State machine for the requests of one agent. It does no I/O: each event returns the actions that
/// the agent process has to perform, in order. Not thread-safe.
///
/// Each request id hashes to a bucket, and the agent that owns the bucket decides about the id. It
/// writes a record before it passes a request on, so that a request which is not idempotent runs at
/// most once. An owner that can neither run nor queue a request relays it to the alternate agent of
/// the bucket.
///
/// A new core has no valid lease and owns no bucket.
class AgentRequestCore
{
public:
  /// aSlots and aRegistry outlive the core.
  AgentRequestCore(AgentRequestSettings aSettings, SlotAdmission& aSlots,
                   AlternateLookup aAlternate, MetricsRegistry& aRegistry);
  ~AgentRequestCore();

  /// A request arrived from a balancer or, relayed, from the owner of its bucket.
  AgentRequestActions OnRequest(ReceivedRequest aRequest, const RequestTime& aTime);
  /// The sender of a message cancelled it, or the link to the sender was lost.
  AgentRequestActions OnCancel(ReplyHandle aHandle, const RequestTime& aTime);

  /// The upstream's answer ended, complete or truncated.
  AgentRequestActions OnUpstreamAnswer(RunId aRun, const ReceivedAnswer& aAnswer,
                                       const RequestTime& aTime);
  /// The upstream refused the run because of its load and certainly did not start it.
  AgentRequestActions OnUpstreamShed(RunId aRun, const Refusal& aRefusal, const RequestTime& aTime);
  /// The run ended without an answer; the upstream may have executed the request.
  AgentRequestActions OnUpstreamFailed(RunId aRun, const RequestTime& aTime);

  /// The alternate agent replied to a relayed request. aReceived is used only when the outcome is
  /// Answered; a truncated answer makes the outcome unknown.
  AgentRequestActions OnAlternateReply(RunId aRun, RequestOutcome aOutcome, const Refusal& aRefusal,
                                       const ReceivedAnswer& aReceived, const RequestTime& aTime);
  /// The link to the alternate agent failed; aSent tells whether any part of the request was sent.
  AgentRequestActions OnAlternateLinkFailed(RunId aRun, bool aSent, const RequestTime& aTime);

  /// Reports whether the agent's lease is valid. Without a valid lease no request that is not
  /// idempotent starts.
  AgentRequestActions OnLease(bool aValid, const RequestTime& aTime);
  /// The process is about to stop: refuses new requests and finishes running and queued ones.
  AgentRequestActions OnPlannedStop(const RequestTime& aTime);
  /// Ends overdue requests, expires records and starts queued requests. Call at least every 10 ms
  /// while Active() is true.
  AgentRequestActions OnTick(const RequestTime& aTime);

  /// This agent became the owner of a bucket in aGeneration. Requests that are not idempotent wait
  /// until OnBucketTransfer or OnPreviousOwnerLost is called for the bucket.
  AgentRequestActions OnBucketAcquired(std::uint32_t aBucket, std::uint32_t aGeneration,
                                       const RequestTime& aTime);
  /// This agent became the owner of a bucket that had no owner before aGeneration.
  AgentRequestActions OnFirstOwnership(std::uint32_t aBucket, std::uint32_t aGeneration,
                                       const RequestTime& aTime);
  /// The transfer message of the previous owner arrived.
  Result<AgentRequestActions> OnBucketTransfer(const Json& aTransfer, std::string_view aPeer,
                                               const RequestTime& aTime);
  /// The previous owner's lease has ended, so it cannot transfer the bucket. Has an effect only on
  /// an incomplete bucket: when the loss is known before the bucket is acquired, call it again
  /// after OnBucketAcquired.
  AgentRequestActions OnPreviousOwnerLost(std::uint32_t aBucket, const RequestTime& aTime);
  /// Another agent became the owner in aGeneration without requesting the records of this agent.
  /// Call this in two cases:
  /// - This agent's lease had ended: before OnLease reports a valid lease again.
  /// - The agent that should have received the bucket from this one was lost: before
  ///   OnPreviousOwnerLost is called at the owner in aGeneration.
  AgentRequestActions OnBucketTakenOver(std::uint32_t aBucket, std::uint32_t aGeneration,
                                        const RequestTime& aTime);
  /// The owner in aGeneration requests the records of buckets. Afterwards this agent decides about
  /// no new id in them. Fails as RequestRecords::FreezeAndExport; the new owner then requests them
  /// again later.
  Result<Json> FreezeAndExport(const std::set<std::uint32_t>& aBuckets,
                               const std::string& aNewOwner, std::uint32_t aGeneration,
                               const RequestTime& aTime);
  /// A record arrived of a request that ended at the previous owner after the bucket transfer.
  Result<AgentRequestActions> OnRecordUpdate(const Json& aRecord, std::string_view aPeer,
                                             const RequestTime& aTime);
  /// Another agent's lease has ended; the outcome of requests that it was still running is unknown.
  AgentRequestActions OnAgentLost(const std::string& aAgent, const RequestTime& aTime);

  /// Returns the record table for the next process of this agent, which passes it to ImportAll. The
  /// table has no records of requests that were relayed to this agent: the next process has a new
  /// incarnation and does not run requests that were relayed to an earlier one.
  Json ExportAll(const RequestTime& aTime);
  Result<void> ImportAll(const Json& aTable, std::string_view aPeer);

  /// Whether any request is open: queued, running, relayed, running at the bucket's previous owner,
  /// or deferred until its bucket is complete.
  bool Active() const;
  std::size_t Running() const;
  std::size_t Queued() const;
  const RequestRecords& Records() const;

private:
  struct Internals;

  std::unique_ptr<Internals> mInternals;
};

} // namespace dandelionslip
