// Averages, expected waits and admitted shares.

#include "spindlecore/internal/PressureGate.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

namespace {

    // Time constants of the moving averages. Rates have to span several requests of a small data centre; what waits has
    // to follow a burst within a fraction of a second.
    constexpr double rateSeconds = 0.5;
    constexpr double unreadSeconds = 0.3;
    // Part of the target, beyond the time that a prompt takes without others before it, that may pass while a prompt
    // waits. The rest is for prompts that take longer than the average and for the age of the figures.
    constexpr double allowedShare = 0.4;
    // The same, below which a burst is over, and the overload up to which the averaged rates may still say otherwise.
    constexpr double releasedShare = 0.1;
    constexpr double releasedOverload = 1.4;
    // By which the time without others before it is taken to rise, per second, so that it follows a slower fleet.
    constexpr double unloadedRise = 0.02;
    // Time in which the prompts that wait are brought to what may wait. Figures of other daemons are up to a second
    // old; a shorter time makes the admitted share swing.
    constexpr double balanceSeconds = 1;
    // The averages rise from 0 at the start of this daemon or of the traffic.
    constexpr Duration warmUp = std::chrono::seconds(2);
    // Consecutive updates that have to find too much waiting; a few prompts that come together are no pressure.
    constexpr uint32_t pressedUpdates = 3;
    // Bounds the effect of one report, and makes daemons that act on the same report do so gradually.
    constexpr double maxStep = 0.2;
    // Slots that are kept free for more urgent requests, as long as these ask for all that is begun. A daemon refills
    // the slots that its own requests free, whatever waits at the others; without a reserve urgent requests find none.
    constexpr double mostReserved = 0.15;
    // Each priority is served at least this many times as often as all requests together, under any lasting load.
    constexpr double floorRatio = 0.3;
    // Below this rate of begun prompt tokens per second, some six requests, a wait cannot be told from chance.
    constexpr double leastBegun = 5000;
    constexpr double leastRetrySeconds = 1;
    constexpr double mostRetrySeconds = 6;
    // A prompt that has waited this many times as long as those that were begun of late is held up by a fault of its
    // chain rather than by other prompts.
    constexpr int heldUpRatio = 2;
    constexpr int waitAverageWeight = 5; // A new wait counts one in this many.

    double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void moveTowards(double& average, double value, double share)
    {
        average += std::min(1.0, share) * (value - average);
    }

} // namespace

void PressureGate::noteArrival(uint8_t priority, double promptTokens, Duration target)
{
    auto& it = m_classes[priority];
    it.arrivedTokens += promptTokens;
    it.target = it.target == Duration::zero() ? target : std::min(it.target, target);
}

void PressureGate::noteBegun(uint8_t priority, double promptTokens, Duration waited)
{
    auto& it = m_classes[priority];
    it.begunTokens += promptTokens;
    it.usualWait += (waited - it.usualWait) / waitAverageWeight;
}

bool PressureGate::isWaiting(uint8_t priority, Duration waited) const
{
    auto found = m_classes.find(priority);
    return found != m_classes.end() && waited <= std::max(found->second.target, found->second.usualWait * heldUpRatio);
}

void PressureGate::adopt(Instant measuredAt, std::vector<PriorityLoad> loads)
{
    if (measuredAt < m_sharedAt)
        return;
    m_sharedAt = measuredAt;
    m_shared = std::move(loads);
}

void PressureGate::updateOwn(Class& it, double seconds, double unread)
{
    moveTowards(it.own.demand, it.arrivedTokens / seconds, seconds / rateSeconds);
    moveTowards(it.own.begun, it.begunTokens / seconds, seconds / rateSeconds);
    moveTowards(it.own.unreadTokens, unread, seconds / unreadSeconds);
    it.arrivedTokens = 0;
    it.begunTokens = 0;
}

void PressureGate::update(Instant now, Duration sinceLast, const std::map<uint8_t, double>& unread)
{
    double seconds = secondsOf(sinceLast);
    if (seconds <= 0)
        return;
    for (auto& [priority, it] : m_classes) {
        auto found = unread.find(priority);
        it.own.priority = priority;
        updateOwn(it, seconds, found == unread.end() ? 0 : found->second);
    }
    m_isShared = m_sharedAt != Instant() && now - m_sharedAt <= maxAge;
    const auto& loads = m_isShared ? m_shared : ownLoad();
    PriorityLoad total;
    for (const auto& it : loads) {
        total.unreadTokens += it.unreadTokens;
        total.demand += it.demand;
        total.begun += it.begun;
    }
    learnUnloadedWait(total, seconds);
    decide(loads, total);
}

// The least wait of late is that of prompts that found few others before them.
void PressureGate::learnUnloadedWait(const PriorityLoad& total, double seconds)
{
    m_isKnown = total.begun >= leastBegun && m_knownFor >= warmUp;
    if (total.begun < leastBegun)
        return;
    m_knownFor += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    double wait = total.unreadTokens / total.begun;
    double risen = m_unloadedWait * (1 + unloadedRise * seconds);
    m_unloadedWait = m_unloadedWait > 0 ? std::min(risen, wait) : wait;
}

void PressureGate::decide(const std::vector<PriorityLoad>& loads, const PriorityLoad& total)
{
    double begun = total.begun;
    m_overload = m_isKnown ? total.demand / begun : 0;
    double raised = total.demand > 0 ? std::min(1.0, floorRatio * begun / total.demand) : 1;
    double below = total.demand; // Demand of the priorities that follow, which have the floor.
    double ahead = 0; // Prompt tokens that wait, of this or a higher priority.
    double moreUrgent = 0; // Prompt tokens per second that higher priorities ask for.
    double taken = 0; // Prompt tokens per second that higher priorities are admitted with.
    auto target = Duration::max();
    for (const auto& load : loads) {
        ahead += load.unreadTokens;
        below -= load.demand;
        double reserved = m_isKnown ? mostReserved * std::min(1.0, moreUrgent / begun) : 0;
        moreUrgent += load.demand;
        auto found = m_classes.find(load.priority);
        if (found == m_classes.end()) {
            taken += load.demand;
            continue;
        }
        auto& it = found->second;
        it.reserved = reserved;
        // Engines do not take back what they have begun to read, so that work of a patient priority must not hold up a
        // more urgent one either.
        target = std::min(target, it.target);
        double unloaded = std::min(m_unloadedWait, secondsOf(target) / 2);
        double allowedWait = unloaded + allowedShare * (secondsOf(target) - unloaded);
        double releasedWait = unloaded + releasedShare * (secondsOf(target) - unloaded);
        it.wait = m_isKnown ? ahead / begun : 0;
        // What the engines read, and besides as much as brings the waiting prompts to what may wait.
        double admissible = begun + (allowedWait * begun - ahead) / balanceSeconds - raised * below - taken;
        it.raised = load.priority == loads.front().priority ? 0 : raised;
        // The floor admits its part of the requests that are not admitted otherwise.
        double share = load.demand > 0 ? admissible / load.demand : 1;
        double wanted = it.raised < 1 ? std::clamp((share - it.raised) / (1 - it.raised), 0.0, 1.0) : 1;
        bool isOver = it.wait <= releasedWait && m_overload < releasedOverload;
        bool isPressed = m_isKnown && wanted < 1 && !isOver;
        it.pressed = isPressed && (it.wait > allowedWait || it.pressed >= pressedUpdates) ? it.pressed + 1 : 0;
        if (it.pressed < pressedUpdates)
            wanted = 1;
        it.admitted = std::clamp(wanted, it.admitted - maxStep, it.admitted + maxStep);
        taken += (it.admitted + (1 - it.admitted) * it.raised) * load.demand;
    }
}

PressureGate::Verdict PressureGate::judge(uint8_t priority, double random) const
{
    auto found = m_classes.find(priority);
    if (found == m_classes.end() || random < found->second.admitted)
        return Verdict::Admitted;
    const auto& it = found->second;
    // What is left of the random number above the admitted share is uniform again.
    double rest = (random - it.admitted) / (1 - it.admitted);
    return rest < it.raised ? Verdict::Raised : Verdict::Refused;
}

Duration PressureGate::retryAfter(uint8_t priority) const
{
    auto found = m_classes.find(priority);
    double wait = found == m_classes.end() ? 0 : found->second.wait;
    // The more demand exceeds what is read, the longer callers stay away, so that their returns fit into the gaps.
    double seconds = wait + leastRetrySeconds * std::max(1.0, m_overload);
    return Duration(std::llround(std::min(seconds, mostRetrySeconds) * 1e9));
}

uint8_t PressureGate::highestPriority() const
{
    return m_classes.empty() ? 0 : m_classes.begin()->first;
}

double PressureGate::reservedShare(uint8_t priority) const
{
    auto found = m_classes.find(priority);
    return found == m_classes.end() ? 0 : found->second.reserved;
}

std::vector<PriorityLoad> PressureGate::ownLoad() const
{
    std::vector<PriorityLoad> loads;
    for (const auto& it : m_classes)
        loads.push_back(it.second.own);
    return loads;
}

std::vector<AdmissionLevel> PressureGate::levels() const
{
    std::vector<AdmissionLevel> levels;
    for (const auto& [priority, it] : m_classes)
        levels.push_back({ priority, it.admitted, Duration(std::llround(it.wait * 1e9)), m_overload, m_isShared });
    return levels;
}

} // namespace jacinthspindle::internal
