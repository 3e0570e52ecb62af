// Parts of prompts under which engines end: what this daemon and others saw, and which parts are kept from the engines.

#pragma once

#include <spindlecore/spindlecore.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jacinthspindle::router {

// A part of a prompt, which requests share, by a digest of its identifier.
enum class PromptPart : uint64_t {};
PromptPart promptPartOf(std::string_view identifier);

// An engine ended while a request with the part was at it and had not begun.
struct PartEnd {
    PromptPart part {};
    uint32_t depth = 0; // Parts before it in the prompt.
    EndpointId endpoint; // One start of an engine, which ends once.
    HostId witness; // Host of the daemon that saw it.
    std::chrono::milliseconds sentAge {}; // Since the request was sent, when the message was made.
    std::chrono::milliseconds endedAge {}; // Since the engine ended; no more than sentAge.
    bool operator==(const PartEnd&) const = default;
};

// What daemons tell each other about parts.
struct PartNews {
    std::vector<PartEnd> ends;
    std::vector<PromptPart> sound; // A request with the part began at the telling daemon.
    bool operator==(const PartNews&) const = default;
};

// Finds the parts under which engines end. A part is blocked after three ends, one after the other: ends at the same
// time have a common cause, such as the loss of a rack. A part that some request began with is sound and never blocked,
// nor is one whose ends are explained by a blocked part: its requests were at the same engines by chance. Of several
// parts the deeper one is blocked first, since prompts that differ share their first parts.
// Deterministic and without I/O. Thread-safe.
class PromptParts {
public:
    // Ends, one after the other, after which a part is blocked if no other part, as deep or deeper, has seen the same.
    static constexpr size_t endsToBlock = 3;
    // After so many ends parts are blocked that cannot be told apart.
    static constexpr size_t endsToBlockTied = 4;
    // After this time without another end a blocked part is tried again; one more end blocks it again.
    static constexpr Duration blockTime = std::chrono::minutes(10);
    // After this time an end counts: other daemons have told which parts were at the engine as well.
    static constexpr Duration settleTime = std::chrono::milliseconds(300);
    // For this long after an end, other daemons may know more about it.
    static constexpr Duration watchTime = std::chrono::seconds(30);
    // Bounds of the memory, whatever callers send.
    static constexpr size_t maxSuspects = 512;
    static constexpr size_t maxEndsOfPart = 8;
    static constexpr size_t maxSound = 2048;
    static constexpr size_t maxEnded = 256;
    static constexpr size_t maxNews = 256;

    // The first event of a request with these parts has arrived: none of them ends engines.
    void recordBegin(Instant now, const std::vector<PromptPart>&);
    // Takes over the parts that were at one engine. Returns true when some end is new and counts against its part.
    bool recordEnds(Instant now, const std::vector<PartEnd>&);
    // Takes over what another daemon told. Returns true when something of it was new.
    bool adopt(Instant now, const PartNews&);
    // Blocks the parts whose ends suffice by now. Called periodically.
    void update(Instant now);
    // Requests with these parts are kept from the engines.
    bool isBlocked(Instant now, const std::vector<PromptPart>&) const;
    // Returns what other daemons should know. isWhole: with the parts that requests began with last, for a daemon that
    // has just started.
    PartNews news(Instant now, bool isWhole) const;
    size_t blocked(Instant now) const;
    // Some part is blocked, or an engine ended a short while ago.
    bool isWatching(Instant now) const;
    size_t suspects() const;

private:
    struct End {
        HostId witness;
        Instant sentAt {}; // Of the last request with the part that was at the engine.
        Instant endedAt {};
    };
    struct Suspect {
        std::map<EndpointId, End> ends; // Never empty, and no more than maxEndsOfPart.
        Instant lastEnd {};
        uint32_t depth = 0; // The least one seen.
        bool isBlocked = false; // In force until blockTime after lastEnd.
    };
    using Suspects = std::unordered_map<PromptPart, Suspect>;

    bool isSound(PromptPart part) const { return m_sound.contains(part); }
    void noteSound(Instant now, PromptPart);
    bool addEnd(Instant now, const PartEnd&);
    // Returns false when the engine had ended before the request was sent to it.
    bool noteEnded(const EndpointId&, Instant sentAt, Instant endedAt);
    bool isExplained(const EndpointId&) const;
    static size_t consecutiveEnds(Instant now, const Suspect&);
    bool isTied(const Suspects::value_type&) const;
    Suspects::iterator findCulprit(Instant now);
    void block(Suspects::iterator);
    void makeRoom(Instant now);
    static bool isInForce(Instant now, const Suspect& it) { return it.isBlocked && now - it.lastEnd < blockTime; }

    mutable std::mutex m_mutex; // Guards what follows.
    Suspects m_suspects; // No more than maxSuspects; none of them is sound.
    std::map<EndpointId, Instant> m_endedAt; // No more than maxEnded.
    std::unordered_map<PromptPart, Instant> m_sound; // With the time of the last begin; no more than maxSound.
    std::vector<PromptPart> m_refuted; // Sound parts that another daemon suspected; no more than maxNews.
};

} // namespace jacinthspindle::router
