// Public face of the decision core.
#include "dandelionslip/Control/RaftCore.h"

#include "RaftNode.h"

namespace dandelionslip {

RaftCore::RaftCore(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow)
  : mNode(std::make_unique<Node>(aSettings, std::move(aState), aRandom, aNow))
{
}

RaftCore::~RaftCore() = default;

RaftActions RaftCore::Tick(TimePoint aNow)
{
  return mNode->Tick(aNow);
}

RaftActions RaftCore::Receive(TimePoint aNow, const RaftMessage& aMessage)
{
  return mNode->Receive(aNow, aMessage);
}

RaftActions RaftCore::OnPersisted(TimePoint aNow, EntryId aLast)
{
  return mNode->OnPersisted(aNow, aLast);
}

Result<EntryId> RaftCore::Propose(TimePoint aNow, Bytes aPayload, RaftActions& aActions)
{
  return mNode->Propose(aNow, std::move(aPayload), aActions);
}

Result<EntryId> RaftCore::ProposeChange(TimePoint aNow, const RaftMembershipChange& aChange,
                                        RaftActions& aActions)
{
  return mNode->ProposeChange(aNow, aChange, aActions);
}

Status RaftCore::TransferLeadership(TimePoint aNow, const ReplicaId& aTarget, RaftActions& aActions)
{
  return mNode->TransferLeadership(aNow, aTarget, aActions);
}

bool RaftCore::SnapshotDue() const
{
  return mNode->SnapshotDue();
}

Snapshot RaftCore::MakeSnapshot(Bytes aState) const
{
  const LogIndex applied = mNode->AppliedIndex();
  return {applied, *mNode->Log().TermAt(applied), mNode->Log().MembershipAt(applied),
          std::move(aState)};
}

void RaftCore::Compact(std::shared_ptr<const Snapshot> aSnapshot)
{
  mNode->Compact(std::move(aSnapshot));
}

bool RaftCore::Confirmed(TimePoint aNow) const
{
  return mNode->Confirmed(aNow);
}

std::optional<ReplicaId> RaftCore::Leader() const
{
  return mNode->Leader();
}

RaftRole RaftCore::Role() const
{
  return mNode->Role();
}

Term RaftCore::CurrentTerm() const
{
  return mNode->CurrentTerm();
}

LogIndex RaftCore::CommitIndex() const
{
  return mNode->CommitIndex();
}

LogIndex RaftCore::AppliedIndex() const
{
  return mNode->AppliedIndex();
}

LogIndex RaftCore::LastIndex() const
{
  return mNode->Log().LastIndex();
}

std::optional<Term> RaftCore::TermAt(LogIndex aIndex) const
{
  return mNode->Log().TermAt(aIndex);
}

const RaftMembership& RaftCore::Members() const
{
  return mNode->Log().LatestMembership();
}

const RaftMembership& RaftCore::CommittedMembers() const
{
  return mNode->Log().MembershipAt(mNode->CommitIndex());
}

LogIndex RaftCore::MatchIndexOf(const ReplicaId& aReplica) const
{
  return mNode->MatchOf(aReplica);
}

} // namespace dandelionslip
