// Records what callers, agents and upstreams observed, and checks it afterwards.
#pragma once

#include "dandelionslip/Request/Attempt.h"
#include "dandelionslip/Request/RequestId.h"
#include "dandelionslip/Request/RequestOutcome.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip::requesttest {

/// What happened to one request id. Order within a list is the order of events.
struct IdHistory
{
  struct Run
  {
    Attempt mAttempt = 0;
    Bytes mProduced; ///< Empty when the run did not end.
  };
  struct Claim
  {
    Attempt mCovers = 0; ///< Highest attempt that the claim is about.
    RequestOutcome mOutcome = RequestOutcome::Unknown;
    Bytes mBody;
  };
  bool mIdempotent = false;
  std::vector<Run> mRuns;
  std::vector<Claim> mClaims; ///< Made by home agents and, on top, by balancers to callers.
};

/// Observations of one concurrent run of the system.
class RequestHistory
{
public:
  void Sent(const RequestId& aId, bool aIdempotent) { mIds[aId].mIdempotent = aIdempotent; }
  /// An upstream begins to run a request; returns the number of the run within its id.
  std::size_t Started(const RequestId& aId, Attempt aAttempt);
  void Produced(const RequestId& aId, std::size_t aRun, Bytes aBody);
  /// Someone stated an outcome for all attempts up to aCovers.
  void Claimed(const RequestId& aId, Attempt aCovers, const RequestReply& aAnswer);

  /// The violations found, one text each.
  std::vector<std::string> Check() const;

  const std::map<RequestId, IdHistory>& Ids() const { return mIds; }

private:
  std::map<RequestId, IdHistory> mIds;
};

} // namespace dandelionslip::requesttest
