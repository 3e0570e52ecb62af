// Division of the bound of changes among the steps that a change takes.

#include "spindlecore/FactTiming.h"

#include <algorithm>

namespace jacinthspindle {

FactTiming::FactTiming(Duration changeBound)
    : listInterval(
        std::clamp(changeBound - takeoverTime - minSearchTime - renewalMargin, minListInterval, maxListInterval))
    , maxFactAge(listInterval + renewalMargin)
    , searchTime(std::max(minSearchTime, changeBound - maxFactAge - takeoverTime))
{
}

Duration FactTiming::answerTimeout(
    Instant now, std::optional<Instant> factsAt, std::optional<Duration> searchTimeLeft) const
{
    auto timeout = maxAnswerTime;
    if (searchTimeLeft)
        timeout = *searchTimeLeft;
    else if (factsAt)
        timeout = *factsAt + maxFactAge - now;
    return std::clamp(timeout, minAnswerTime, maxAnswerTime);
}

} // namespace jacinthspindle
