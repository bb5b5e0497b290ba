// What a control replica tells the leader about its attached nodes, and the leader's answer.
#pragma once

#include "dandelionslip/Model/Announcement.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// Largest summary, view message or answer that is decoded. A whole view of the largest planned
/// deployment takes less than 2 MiB.
inline constexpr std::size_t kMaxControlMessageBytes = std::size_t{8} << 20U;

/// Maximum number of members that one message lists; equals the default size of the lease table.
inline constexpr std::size_t kMaxListedMembers = 8'192;

/// The announcements of a replica's attached nodes, sent to the leader every 250 ms.
struct MemberSummary
{
  std::string mReplica;
  std::uint64_t mTerm = 0;     ///< Term of the leader it is meant for.
  std::uint64_t mSequence = 0; ///< Increases by one with each summary in a term.
  bool mWhole = false;         ///< mChanged lists every attached node.
  /// Announcements that the leader has not acknowledged; all of them if mWhole.
  std::vector<Announcement> mChanged;
  /// Nodes whose detachment the leader has not acknowledged.
  std::vector<std::string> mDetached;
  std::uint64_t mDigest = 0; ///< AttachedDigest of all attached nodes after this summary.
  std::uint64_t mViewRevision = 0;
  std::optional<View> mView; ///< Present when the leader asked for it.

  bool operator==(const MemberSummary&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, MemberSummary& aValue)
{
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("sequence", aValue.mSequence);
  aVisitor.Optional("whole", aValue.mWhole);
  aVisitor.Optional("changed", aValue.mChanged);
  aVisitor.Optional("detached", aValue.mDetached);
  aVisitor.Field("digest", aValue.mDigest);
  aVisitor.Field("view_revision", aValue.mViewRevision);
  aVisitor.Optional("view", aValue.mView);
}

/// The leader's answer to a summary.
struct SummaryAnswer
{
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0; ///< Of the summary that is answered.
  bool mAccepted = false; ///< All attached nodes except those in mFenced and mRefused were renewed.
  std::uint64_t mHeldRevision = 0; ///< Newest view revision that a quorum has.
  bool mWholeWanted = false;       ///< The digest differs; the next summary must be whole.
  /// The next summary must carry the replica's view, which is newer than the new leader's.
  bool mViewWanted = false;
  std::vector<std::string> mFenced; ///< A higher incarnation exists; these must stop.
  /// Got no lease: the announcement is invalid, the table is full, or no held view shows them as
  /// live.
  std::vector<std::string> mRefused;

  bool operator==(const SummaryAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, SummaryAnswer& aValue)
{
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("sequence", aValue.mSequence);
  aVisitor.Field("accepted", aValue.mAccepted);
  aVisitor.Field("held_revision", aValue.mHeldRevision);
  aVisitor.Optional("whole_wanted", aValue.mWholeWanted);
  aVisitor.Optional("view_wanted", aValue.mViewWanted);
  aVisitor.Optional("fenced", aValue.mFenced);
  aVisitor.Optional("refused", aValue.mRefused);
}

/// Decodes a summary within the size bounds. LimitExceeded: a bound is exceeded; InvalidInput:
/// malformed.
Result<MemberSummary> DecodeMemberSummary(std::span<const std::uint8_t> aBytes,
                                          std::string_view aSource);

} // namespace dandelionslip
