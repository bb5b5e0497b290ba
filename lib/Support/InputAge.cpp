// How old the input may be that a process reads.
#include "dandelionslip/Support/InputAge.h"

namespace dandelionslip {

InputAge::InputAge(TimePoint aNow)
{
  mTurns.fill(aNow);
}

void InputAge::NoteTurn(TimePoint aNow)
{
  mTurns[mOldest] = aNow;
  mOldest = (mOldest + 1) % kTurns;
}

} // namespace dandelionslip
