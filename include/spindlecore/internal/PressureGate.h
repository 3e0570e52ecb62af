// Admission to a model whose requests differ in priority.

#pragma once

#include "spindlecore/Decisions.h"

#include <map>
#include <vector>

namespace jacinthspindle::internal {

// Answers demand that exceeds what the engines read: without it all requests wait, and nearly all of them are late.
// Estimates how long the prompts that wait take to be read, counting those of the same or a higher priority. When that
// takes too much of the time within which first events are due, the gate admits as much as the engines read, the most
// urgent first, and the rest is refused at once. A floor keeps each priority served under any lasting load.
// Deterministic and without I/O. Not thread-safe.
class PressureGate {
public:
    // Figures of other daemons that are older say nothing about the present; then this daemon's own decide.
    static constexpr Duration maxAge = std::chrono::milliseconds(2000);

    // A request arrived. target: time within which its first event is due.
    void noteArrival(uint8_t priority, double promptTokens, Duration target);
    // The first event of a request came.
    void noteBegun(uint8_t priority, double promptTokens, Duration waited);
    // Whether a prompt that has waited for so long still waits for other prompts.
    bool isWaiting(uint8_t priority, Duration waited) const;
    // Sums over all daemons of the data centre.
    void adopt(Instant measuredAt, std::vector<PriorityLoad>);
    // Updates the averages and the admitted shares; called about every 100 ms. unread: prompt tokens of this daemon's
    // requests that wait for their first event, by the priority that they are served with.
    void update(Instant now, Duration sinceLast, const std::map<uint8_t, double>& unread);

    enum class Verdict : uint8_t {
        Admitted,
        Raised, // Admitted by the floor, at the highest priority: at its own it would not be served.
        Refused,
    };
    // random: uniform in [0, 1).
    Verdict judge(uint8_t priority, double random) const;
    // Time after which a refused request has a chance to be admitted.
    Duration retryAfter(uint8_t priority) const;
    uint8_t highestPriority() const;
    // Share of the slots that requests of this priority leave free for more urgent ones.
    double reservedShare(uint8_t priority) const;

    // This daemon's figures, for the other daemons of its data centre.
    std::vector<PriorityLoad> ownLoad() const;
    // What the last update() decided, by priority.
    std::vector<AdmissionLevel> levels() const;

private:
    struct Class {
        PriorityLoad own;
        double arrivedTokens = 0; // Since the last update.
        double begunTokens = 0; // Since the last update.
        Duration target {}; // Shortest one of its requests.
        Duration usualWait {}; // From the arrival to the first event, averaged.
        double wait = 0; // Seconds until a prompt that arrives now is read.
        double admitted = 1; // Share of the requests that is admitted; changes by a bounded step.
        double raised = 0; // Share of the others that the floor admits.
        double reserved = 0; // Share of the slots that is left to more urgent requests.
        uint32_t pressed = 0; // Consecutive updates that found too much waiting; limited until all can be admitted.
    };
    void updateOwn(Class&, double seconds, double unread);
    // total: sums over all priorities.
    void learnUnloadedWait(const PriorityLoad& total, double seconds);
    void decide(const std::vector<PriorityLoad>&, const PriorityLoad& total);

    std::map<uint8_t, Class> m_classes; // By priority.
    std::vector<PriorityLoad> m_shared;
    Instant m_sharedAt {};
    bool m_isShared = false; // Whether the last update() used figures of all daemons.
    Duration m_knownFor {}; // For how long enough prompts have been begun to tell how long others wait.
    bool m_isKnown = false; // Set while waits can be told.
    double m_unloadedWait = 0; // Seconds that a prompt takes with few others before it; 0: unknown.
    double m_overload = 0; // Demand divided by what is begun, at the last update().
};

} // namespace jacinthspindle::internal
