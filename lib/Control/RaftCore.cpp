// Forwards the public interface to RaftCore::Impl.
#include "dandelionslip/Control/RaftCore.h"

#include "RaftCoreImpl.h"

namespace dandelionslip {

RaftCore::RaftCore(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow)
  : mImpl(std::make_unique<Impl>(aSettings, std::move(aState), aRandom, aNow))
{
}

RaftCore::~RaftCore() = default;

RaftActions RaftCore::Tick(TimePoint aNow)
{
  return mImpl->Tick(aNow);
}

RaftActions RaftCore::Receive(TimePoint aNow, const RaftMessage& aMessage)
{
  return mImpl->Receive(aNow, aMessage);
}

RaftActions RaftCore::ReceiveJoin(TimePoint aNow, const ReplicaId& aReplica)
{
  return mImpl->ReceiveJoin(aNow, aReplica);
}

RaftActions RaftCore::OnPersisted(TimePoint aNow, EntryId aLast)
{
  return mImpl->OnPersisted(aNow, aLast);
}

Result<EntryId> RaftCore::Propose(TimePoint aNow, Bytes aPayload, RaftActions& aActions)
{
  return mImpl->Propose(aNow, std::move(aPayload), aActions);
}

Result<EntryId> RaftCore::ProposeChange(TimePoint aNow, const RaftMembershipChange& aChange,
                                        RaftActions& aActions)
{
  return mImpl->ProposeChange(aNow, aChange, aActions);
}

Status RaftCore::TransferLeadership(TimePoint aNow, const ReplicaId& aTarget, RaftActions& aActions,
                                    std::span<const ReplicaId> aAvoided)
{
  return mImpl->TransferLeadership(aNow, aTarget, aActions, aAvoided);
}

bool RaftCore::SnapshotDue() const
{
  return mImpl->SnapshotDue();
}

Snapshot RaftCore::MakeSnapshot(Bytes aState) const
{
  const LogIndex applied = mImpl->AppliedIndex();
  return {applied, *mImpl->Log().TermAt(applied), mImpl->Log().MembershipAt(applied),
          std::move(aState)};
}

void RaftCore::Compact(std::shared_ptr<const Snapshot> aSnapshot)
{
  mImpl->Compact(std::move(aSnapshot));
}

bool RaftCore::Confirmed(TimePoint aNow) const
{
  return mImpl->Confirmed(aNow);
}

std::optional<ReplicaId> RaftCore::Leader() const
{
  return mImpl->Leader();
}

std::optional<LeaderStamp> RaftCore::NewestLeaderStamp() const
{
  return mImpl->NewestLeaderStamp();
}

RaftRole RaftCore::Role() const
{
  return mImpl->Role();
}

Term RaftCore::CurrentTerm() const
{
  return mImpl->CurrentTerm();
}

LogIndex RaftCore::CommitIndex() const
{
  return mImpl->CommitIndex();
}

LogIndex RaftCore::AppliedIndex() const
{
  return mImpl->AppliedIndex();
}

LogIndex RaftCore::LastIndex() const
{
  return mImpl->Log().LastIndex();
}

std::optional<Term> RaftCore::TermAt(LogIndex aIndex) const
{
  return mImpl->Log().TermAt(aIndex);
}

const RaftMembership& RaftCore::Members() const
{
  return mImpl->Log().LatestMembership();
}

const RaftMembership& RaftCore::CommittedMembers() const
{
  return mImpl->Log().MembershipAt(mImpl->CommitIndex());
}

LogIndex RaftCore::MatchIndexOf(const ReplicaId& aReplica) const
{
  return mImpl->MatchIndexOf(aReplica);
}

} // namespace dandelionslip
