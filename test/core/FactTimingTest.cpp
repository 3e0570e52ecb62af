// Tests of the time limits of facts: a change reaches every daemon of a data centre in time, whenever its reader
// freezes.

#include <algorithm>
#include <doctest/doctest.h>
#include <spindlecore/spindlecore.h>

#include <vector>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };
const DataCentreId north { "north" };

// Simulates the daemons of one data centre. The first one reads the list and answers the questions of the others until
// it freezes.
class FrozenReaderTimeline {
public:
    static constexpr size_t daemons = 7;
    static constexpr Duration step = 5ms;
    static constexpr Duration readTime = 50ms; // Of the list, and the way to a follower.
    static constexpr Duration readerWait = 100ms; // A daemon that may become a reader declines after this time.
    static constexpr Duration askInterval = 50ms;

    // phase: from the read before to the freeze. frozen: so many of the first daemons freeze. longestWait: a reader
    // answers after this time although its list has not changed, since it has other news.
    FrozenReaderTimeline(const FactTiming& timing, Duration phase, size_t frozen, Duration longestWait)
        : m_timing(timing)
        , m_longestWait(longestWait)
        , m_frozen(frozen)
        , m_freezesAt(start + 2 * (timing.listInterval + readTime) + phase)
    {
        std::vector<PeerHost> hosts;
        for (size_t i = 0; i < daemons; ++i)
            hosts.push_back({ hostAt(i), north, "10.0.0.1:1", 700 });
        for (size_t i = 0; i < daemons; ++i) {
            m_list.push_back({ FactSourceSelector(hostAt(i), north, timing.searchTime) });
            m_list.back().selector.setHosts(hosts);
            m_list.back().listAt = start;
            if (i)
                ask(start + std::chrono::milliseconds(40 * i), m_list.back(), 0);
        }
        m_list.front().isReading = true;
        m_list.front().hasRead = true;
        m_list.front().readAt = start;
    }

    // Returns the greatest age that the list of a daemon which does not freeze reaches.
    Duration run()
    {
        Duration oldest {};
        for (auto now = start; now < m_freezesAt + 4s; now += step) {
            for (size_t i = 0; i < daemons; ++i) {
                if (isFrozen(now, i))
                    continue;
                advance(now, i);
                if (i >= m_frozen)
                    oldest = std::max(oldest, now - m_list[i].listAt);
            }
        }
        return oldest;
    }

    size_t failuresBeforeFreeze = 0;

private:
    struct Daemon {
        FactSourceSelector selector;
        Instant listAt {}; // When the platform vouched for the list that it uses.
        bool isReading = false;
        bool hasRead = false; // Since isReading was set.
        Instant readAt {}; // Next read, or its end once readBegan is set.
        std::optional<Instant> readBegan;
        size_t asked = 0; // The daemon that is asked.
        Instant askedAt {};
        Instant listAtQuestion {}; // Of the asked daemon.
        Instant failsAt {};
        std::optional<Instant> factsAt;
    };

    static HostId hostAt(size_t i) { return HostId("n" + std::to_string(10 + i)); }

    bool isFrozen(Instant now, size_t i) const { return i < m_frozen && now >= m_freezesAt; }

    void ask(Instant now, Daemon& it, size_t asked)
    {
        it.isReading = false;
        it.hasRead = false;
        it.readBegan.reset();
        it.asked = asked;
        it.askedAt = now;
        it.listAtQuestion = m_list[asked].listAt;
        it.failsAt = now + m_timing.answerTimeout(now, it.factsAt, it.selector.searchTimeLeft(now));
    }

    void advance(Instant now, size_t i)
    {
        if (m_list[i].isReading)
            read(now, m_list[i]);
        else if (now >= m_list[i].askedAt)
            awaitAnswer(now, m_list[i]);
    }

    void read(Instant now, Daemon& it)
    {
        if (now < it.readAt)
            return;
        if (!it.readBegan) {
            it.readBegan = now;
            it.readAt = now + readTime;
            return;
        }
        it.listAt = *it.readBegan;
        it.hasRead = true;
        it.readBegan.reset();
        it.readAt = now + m_timing.listInterval;
        it.selector.recordPlatformRead(now, FactKind::Configuration, true);
        it.selector.recordPlatformRead(now, FactKind::Endpoints, true);
        if (&it != &m_list.front())
            chooseSource(now, it);
    }

    void awaitAnswer(Instant now, Daemon& it)
    {
        auto host = hostAt(it.asked);
        const auto& other = m_list[it.asked];
        bool isReader = other.isReading && other.hasRead;
        if (isFrozen(now, it.asked) || now >= it.failsAt) {
            if (now < it.failsAt)
                return;
            failuresBeforeFreeze += now < m_freezesAt;
            it.factsAt.reset();
            it.selector.recordFailure(now, host);
        } else if (isReader && (other.listAt != it.listAtQuestion || now >= it.askedAt + m_longestWait)) {
            it.listAt = other.listAt;
            it.factsAt = other.listAt;
            it.selector.recordResponse(host);
        } else if (!isReader && now >= it.askedAt + readerWait) {
            it.factsAt.reset();
            it.selector.recordDecline(now, host, other.isReading ? HostId() : hostAt(other.asked));
        } else {
            return;
        }
        chooseSource(now, it);
    }

    void chooseSource(Instant now, Daemon& it)
    {
        const auto* next = it.selector.currentSource(now);
        if (next) {
            ask(now + askInterval, it, std::stoul(next->host.value().substr(1)) - 10);
            return;
        }
        if (!it.isReading)
            it.readAt = now;
        it.isReading = true;
    }

    const FactTiming m_timing;
    const Duration m_longestWait;
    const size_t m_frozen;
    const Instant m_freezesAt;
    std::vector<Daemon> m_list;
};

} // namespace

TEST_CASE("the parts of the bound of changes add up to it")
{
    for (Duration bound : { 1200ms, 1500ms, 2000ms, 2500ms, 3000ms, 4000ms }) {
        CAPTURE(bound / 1ms);
        FactTiming timing(bound);
        CHECK(timing.maxFactAge + timing.searchTime + FactTiming::takeoverTime == bound);
        CHECK(timing.listInterval + FactTiming::renewalMargin <= timing.maxFactAge);
    }
    CHECK(FactTiming(FactTiming::minChangeBound).listInterval == FactTiming::minListInterval);
}

// DRAIN: followers used the list of a frozen reader for longer than drainMs, depending on when the reader froze.
TEST_CASE("no daemon's list is older than the bound of changes, whenever between two reads the reader freezes")
{
    for (Duration bound : { 1500ms, 2000ms, 3000ms, 4000ms }) {
        FactTiming timing(bound);
        for (size_t frozen : { 1U, 2U, 3U }) {
            for (Duration longestWait : { 20ms, 150ms, 500ms }) {
                CAPTURE(bound / 1ms);
                CAPTURE(frozen);
                CAPTURE(longestWait / 1ms);
                Duration oldest {};
                size_t failures = 0;
                for (Duration phase {}; phase <= timing.listInterval + FrozenReaderTimeline::readTime; phase += 10ms) {
                    FrozenReaderTimeline timeline(timing, phase, frozen, longestWait);
                    oldest = std::max(oldest, timeline.run());
                    failures += timeline.failuresBeforeFreeze;
                }
                CAPTURE(oldest / 1ms);
                CHECK(oldest < bound);
                CHECK_MESSAGE(failures == 0, "a sound reader is kept");
            }
        }
    }
}
