// Time limits of the facts that daemons follow, which together keep the platform's bound of changes.

#pragma once

#include "spindlecore/Types.h"

#include <chrono>
#include <optional>

namespace jacinthspindle {

// A change that is made right after a reader's last read reaches its followers in time even if the reader freezes
// before the next read:
//
//     maxFactAge + searchTime + takeoverTime == changeBound
//
// A follower gives its source up once its facts are maxFactAge old, finds another source within searchTime or reads the
// platform itself, and has made use of what it learned takeoverTime later. A source that reads at the right time has
// renewalMargin to spare: listInterval + renewalMargin <= maxFactAge.
struct FactTiming {
    // For the first own read of the platform, and for the routing tables that are built from it.
    static constexpr Duration takeoverTime = std::chrono::milliseconds(400);
    // For the read that renews the facts, and for the way from the source to its followers.
    static constexpr Duration renewalMargin = std::chrono::milliseconds(400);
    static constexpr Duration minListInterval = std::chrono::milliseconds(100);
    static constexpr Duration maxListInterval = std::chrono::milliseconds(900);
    static constexpr Duration minSearchTime = std::chrono::milliseconds(300);
    // A source that does not answer for this long counts as failed, however young its facts are.
    static constexpr Duration maxAnswerTime = std::chrono::milliseconds(900);
    static constexpr Duration minAnswerTime = std::chrono::milliseconds(100);
    // No shorter bound of changes can be kept while a source is frozen.
    static constexpr Duration minChangeBound = minListInterval + renewalMargin + minSearchTime + takeoverTime;

    // changeBound: the time after which a change must be in force everywhere.
    explicit FactTiming(Duration changeBound);

    // Returns how long to wait for an answer of the source. factsAt: when the platform vouched for the facts of the
    // source's last answer; nothing when that is unknown or this daemon does not depend on them. searchTimeLeft: see
    // FactSourceSelector.
    Duration answerTimeout(Instant now, std::optional<Instant> factsAt, std::optional<Duration> searchTimeLeft) const;

    Duration listInterval; // Between two reads of the list of endpoints.
    Duration maxFactAge;
    Duration searchTime;
};

} // namespace jacinthspindle
