// Checker of flow histories.
#include "FlowHistory.h"

#include <map>
#include <optional>
#include <set>

namespace dandelionslip {

namespace {

struct Session
{
  std::optional<FlowEvent> mEstablishedAt;
  bool mEnded = false;
};

class Checker
{
public:
  std::vector<std::string> Run(const std::vector<FlowEvent>& aEvents)
  {
    for (const FlowEvent& event : aEvents) {
      Check(event);
    }
    return std::move(mViolations);
  }

private:
  void Check(const FlowEvent& aEvent)
  {
    Session& session = mSessions[aEvent.mSession];
    switch (aEvent.mKind) {
      case FlowEventKind::Delivered:
        CheckDelivery(aEvent, session);
        return;
      case FlowEventKind::Established:
        session.mEstablishedAt = aEvent;
        session.mEnded = session.mEnded || mDataCentresOut.contains(aEvent.mDataCentre);
        return;
      case FlowEventKind::Refused:
      case FlowEventKind::NoReply:
        CheckBreak(aEvent, session);
        return;
      case FlowEventKind::Ended:
        session.mEnded = true;
        return;
      case FlowEventKind::DataCentreOut:
        EndSessionsIn(aEvent.mDataCentre);
        mDataCentresOut.insert(aEvent.mDataCentre);
        return;
      case FlowEventKind::DataCentreIn:
        mDataCentresOut.erase(aEvent.mDataCentre);
        return;
      case FlowEventKind::Applied:
        mOutByBalancer[{aEvent.mNode, aEvent.mDataCentre}] = aEvent.mPort != 0;
        return;
      case FlowEventKind::Forwarded:
        if (mOutByBalancer[{aEvent.mNode, aEvent.mDataCentre}]) {
          Report(aEvent, "forwarded to a data centre that is out: " + aEvent.mDataCentre);
        }
        return;
    }
  }

  void CheckDelivery(const FlowEvent& aEvent, Session& aSession)
  {
    // A session that no upstream has answered may be opened again at the service that took over the
    // address; an established one may not.
    if (aSession.mEstablishedAt && aSession.mEstablishedAt->mService != aEvent.mService) {
      Report(aEvent, "delivered to services " + aSession.mEstablishedAt->mService + " and " +
                       aEvent.mService);
    }
    if (aSession.mEstablishedAt && !aSession.mEnded &&
        (aSession.mEstablishedAt->mNode != aEvent.mNode ||
         aSession.mEstablishedAt->mPort != aEvent.mPort)) {
      Report(aEvent, "held by " + aSession.mEstablishedAt->mNode + ":" +
                       std::to_string(aSession.mEstablishedAt->mPort) + ", delivered to " +
                       aEvent.mNode + ":" + std::to_string(aEvent.mPort));
    }
  }

  void CheckBreak(const FlowEvent& aEvent, Session& aSession)
  {
    if (aSession.mEstablishedAt && !aSession.mEnded) {
      Report(aEvent, "established session broke: " + (aEvent.mKind == FlowEventKind::NoReply
                                                        ? std::string("no reply")
                                                        : std::string(ToString(aEvent.mReason))));
      aSession.mEnded = true;
    }
  }

  void EndSessionsIn(const std::string& aDataCentre)
  {
    for (auto& [id, session] : mSessions) {
      session.mEnded = session.mEnded || (session.mEstablishedAt &&
                                          session.mEstablishedAt->mDataCentre == aDataCentre);
    }
  }

  void Report(const FlowEvent& aEvent, const std::string& aText)
  {
    mViolations.push_back("session " + std::to_string(aEvent.mSession) + ": " + aText);
  }

  std::map<std::uint64_t, Session> mSessions;
  /// Whether a balancer has applied that a data centre is out of service.
  std::map<std::pair<std::string, std::string>, bool> mOutByBalancer;
  std::set<std::string> mDataCentresOut;
  std::vector<std::string> mViolations;
};

} // namespace

std::vector<std::string> CheckFlowHistory(const std::vector<FlowEvent>& aEvents)
{
  return Checker().Run(aEvents);
}

} // namespace dandelionslip
