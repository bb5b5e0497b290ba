// Which agent holds each flow of the buckets that an agent owns.
#pragma once

#include "dandelionslip/Agent/FlowMessages.h"
#include "dandelionslip/Model/RefusalReason.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionslip {

/// State of a bucket's directory at an agent.
enum class BucketState
{
  NeverOwned,  ///< Not owned since the agent started or the directory was reset.
  Complete,    ///< All flows of the bucket are known.
  Pending,     ///< The directory has been requested from a previous owner.
  Rebuilding,  ///< The previous owner is lost; all members are asked which flows they hold.
  Transferred, ///< Transferred to a new owner; the agent forwards packets to it.
};

/// The holder of a flow, as recorded in a directory.
struct FlowHolder
{
  std::string mName;
  TimePoint mConfirmedAt; ///< When the holder last confirmed that it holds the flow.
};

/// A message that a flow ended is ignored for this long after the flow's holder was recorded
/// or confirmed, because it may have been sent before the flow was opened again. If the message was
/// right, the recorded agent sends it again when a packet of the flow is redirected to it.
inline constexpr Milliseconds kHolderGracePeriod{2'000};

/// A holder with a newer view may report its flows to an agent that does not know yet that it owns
/// the bucket. When that agent becomes the owner, it keeps reports up to this age and removes older
/// ones, which may be outdated.
inline constexpr Milliseconds kMaxEarlyReportAge{5'000};

/// State of one bucket.
struct Bucket
{
  BucketState mState = BucketState::NeverOwned;
  /// Pending: the previous owner that the directory is requested from. Transferred: the new owner.
  std::string mTransferPartner;
  /// Pending: members that the directory was requested from; a second request to one would be a
  /// cycle.
  std::set<std::string> mRequestedFrom;
  std::set<std::string> mWaitingFor; ///< Rebuilding: members that have not answered.
  TimePoint mNextRequest;            ///< Pending, Rebuilding: when to send the request again.
  /// Pending, Rebuilding: epoch in which the state began; answers to older requests are ignored.
  TableEpoch mSince;
  /// Pending: the agent still has the complete directory from an earlier ownership, because no
  /// later owner requested it.
  bool mHasCompleteCopy = false;
  /// Transferred: status of the answer that transferred the bucket; a repeated request gets it
  /// again.
  TransferStatus mTransferStatus = TransferStatus::Complete;
  std::string mTransferNext;              ///< Transferred: mNext of that answer.
  std::uint64_t mNewOwnerIncarnation = 0; ///< Transferred: incarnation of the new owner.
  /// Why packets of flows without a holder are refused: DataCentreOut if the previous owner's data
  /// centre was taken out of service.
  RefusalReason mUnknownFlowReason = RefusalReason::UnknownFlow;
  std::unordered_map<FlowId, FlowHolder> mHolders;
  /// Transferred: the holders at the time of the transfer, for packets that still arrive here. They
  /// become outdated, so they are never used as the directory.
  std::unordered_map<FlowId, FlowHolder> mHoldersAtTransfer;
};

/// The directories of all buckets of a service, as far as one agent knows them. Their memory is
/// bounded by the number of flows that the members admit. Not thread-safe.
class BucketDirectory
{
public:
  explicit BucketDirectory(std::uint32_t aBucketCount = 0);

  std::uint32_t Buckets() const { return static_cast<std::uint32_t>(mBuckets.size()); }
  Bucket& At(std::uint32_t aBucket) { return mBuckets[aBucket]; }
  const Bucket& At(std::uint32_t aBucket) const { return mBuckets[aBucket]; }

  /// The bucket of a flow.
  Bucket& Of(FlowId aFlow);
  const Bucket& Of(FlowId aFlow) const;

  /// The holder's name, or null.
  const std::string* Holder(FlowId aFlow) const;

  /// Sets or confirms the holder of a flow.
  void Record(FlowId aFlow, const std::string& aHolder, TimePoint aNow);

  /// Handles a message from aHolder that it does not hold the flow; see kHolderGracePeriod.
  void RemoveHolder(FlowId aFlow, const std::string& aHolder, TimePoint aNow);

  /// The holder's name when the bucket was transferred away, or null.
  const std::string* HolderAtTransfer(FlowId aFlow) const;

  /// Prepares a bucket of which the agent has become the owner: removes the holders recorded at an
  /// earlier transfer, and the holders not confirmed within kMaxEarlyReportAge.
  void PrepareOwnership(std::uint32_t aBucket, TimePoint aNow);

  /// Removes the flow's entry.
  void Erase(FlowId aFlow);

  /// Records the holders that a previous owner or a holder reported.
  void Merge(const std::vector<DirectoryEntry>& aFlows, TimePoint aNow);

  /// The bucket's entries, ordered by flow.
  std::vector<DirectoryEntry> Entries(std::uint32_t aBucket) const;

  /// Examines the next aMaxBuckets buckets and removes entries not confirmed for aTimeout.
  void Expire(TimePoint aNow, Milliseconds aTimeout, std::uint32_t aMaxBuckets);

private:
  std::vector<Bucket> mBuckets;
  std::uint32_t mLastExamined = 0;
};

} // namespace dandelionslip
