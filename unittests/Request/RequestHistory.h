// Records what callers, agents and upstreams observed, so that a test can check it afterwards.
#pragma once

#include "dandelionslip/Request/Attempt.h"
#include "dandelionslip/Request/RequestId.h"
#include "dandelionslip/Request/RequestOutcome.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip::requesttest {

/// What happened to one request id. Each list is in the order of the events.
struct IdHistory
{
  struct Run
  {
    Attempt mAttempt = 0;
    Bytes mAnswer; ///< Empty when the run did not end.
  };
  struct Claim
  {
    Attempt mLastAttempt = 0; ///< Highest attempt that the claim is about.
    RequestOutcome mOutcome = RequestOutcome::Unknown;
    Bytes mBody;
  };
  bool mIdempotent = false;
  std::vector<Run> mRuns;
  std::vector<Claim> mClaims; ///< Replies of owners to balancers, and of balancers to callers.
};

/// Observations of one run of the simulation.
class RequestHistory
{
public:
  void AddRequest(const RequestId& aId, bool aIdempotent) { mIds[aId].mIdempotent = aIdempotent; }
  /// An upstream started to run a request; returns the index of the run within its id.
  std::size_t AddRun(const RequestId& aId, Attempt aAttempt);
  void SetAnswer(const RequestId& aId, std::size_t aRun, Bytes aBody);
  /// An agent or balancer replied with an outcome for all attempts up to aLastAttempt.
  void AddClaim(const RequestId& aId, Attempt aLastAttempt, const RequestReply& aReply);

  /// Returns a description of each violation found.
  std::vector<std::string> Check() const;

  const std::map<RequestId, IdHistory>& Ids() const { return mIds; }

private:
  std::map<RequestId, IdHistory> mIds;
};

} // namespace dandelionslip::requesttest
