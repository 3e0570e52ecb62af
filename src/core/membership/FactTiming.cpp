// Division of the bound of changes among the steps that a change takes.

#include "spindlecore/FactTiming.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    // What a bound leaves beside the least that each step takes goes to the search, and in equal part to the age until
    // a source has as long for its answer as for one to a question about fresh facts.
    Duration maxFactAgeOf(Duration changeBound, Duration listInterval)
    {
        auto least = listInterval + FactTiming::renewalMargin;
        auto spare = std::max<Duration>(
            Duration::zero(), changeBound - least - FactTiming::minSearchTime - FactTiming::takeoverTime);
        return std::min<Duration>(least + spare / 2, listInterval + FactTiming::maxAnswerTime);
    }

} // namespace

FactTiming::FactTiming(Duration changeBound)
    : listInterval(
        std::clamp(changeBound - takeoverTime - minSearchTime - renewalMargin, minListInterval, maxListInterval))
    , maxFactAge(maxFactAgeOf(changeBound, listInterval))
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
