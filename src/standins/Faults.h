// The faults that a stand-in can be told to have. The members carry the names of the JSON of POST /faults; a request
// replaces all faults of its target.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle::standins {

using Json = nlohmann::json;

// Times are in milliseconds; a count of 0 switches a fault off. Counts of the form "next n" go down to 0.
struct TableFaults {
    bool down = false;
    uint32_t delayMs = 0; // Before each answer.
    uint32_t loseAnswers = 0; // The next n commits take effect, and their connection is closed without an answer.
    uint32_t dropCommits = 0; // The next n commits have no effect and no answer.
    uint32_t lateCommits = 0; // The next n commits get no answer and take effect after lateMs.
    uint32_t lateMs = 500;
    std::string keyPrefix; // Only commits that write a key with this prefix have the three faults above.
};

struct ObjectFaults {
    bool down = false;
    uint32_t delayMs = 0;
};

struct HostFaults {
    bool down = false;
    uint32_t delayMs = 0;
    bool stale = false; // The list stays as it was when the fault came.
    std::vector<std::string> leaving;
    std::vector<std::string> missing;
};

struct EngineFaults {
    bool down = false;
    uint32_t dieAfterTokens = 0; // Goes down after n more tokens of any streams.
    uint32_t breakAfterTokens = 0; // Breaks one stream off after n more tokens.
    uint32_t stallAfterTokens = 0; // Sends nothing for stallMs after n more tokens, once.
    uint32_t stallMs = 60000;
    uint32_t crossEvery = 0; // Sends a token of another request before each nth token.
    uint32_t doubleEvery = 0; // Sends each nth token twice.
    uint32_t lateEvery = 0; // Sends a token of the attempt before with each nth token.
    uint32_t skipLayerEvery = 0; // Leaves the own proof out of each nth token.
    uint32_t delayMs = 0; // Added to the time of each token.
    uint32_t statusLagMs = 0;
    uint32_t cacheLagMs = 0;
    uint32_t cacheGapEvery = 0; // Each nth cache event is lost.
    bool leaving = false;
    bool refuse = false; // Answers each run with 503.
    bool ignoreFence = false;
};

struct ServiceFaults {
    bool down = false;
    uint32_t delayMs = 0; // Before the effect.
    uint32_t loseAnswers = 0; // The next n calls take effect, and their connection is closed without an answer.
    uint32_t dropCalls = 0; // The next n calls have no effect and no answer.
    uint32_t errorsAfterEffect = 0; // The next n calls take effect and are answered with 500.
    bool ignoreFence = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    TableFaults, down, delayMs, loseAnswers, dropCommits, lateCommits, lateMs, keyPrefix)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ObjectFaults, down, delayMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostFaults, down, delayMs, stale, leaving, missing)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineFaults, down, dieAfterTokens, breakAfterTokens, stallAfterTokens,
    stallMs, crossEvery, doubleEvery, lateEvery, skipLayerEvery, delayMs, statusLagMs, cacheLagMs, cacheGapEvery,
    leaving, refuse, ignoreFence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    ServiceFaults, down, delayMs, loseAnswers, dropCalls, errorsAfterEffect, ignoreFence)

// Returns nothing when the object has a member, other than "target", that the faults do not have.
template <typename Faults> std::optional<Faults> decodeFaults(const Json& json)
{
    Json known = Faults();
    for (const auto& it : json.items()) {
        if (it.key() != "target" && !known.contains(it.key()))
            return std::nullopt;
    }
    try {
        return json.get<Faults>();
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

// Takes one of the next n; returns false when none is left.
inline bool takeOne(uint32_t& n)
{
    if (!n)
        return false;
    --n;
    return true;
}

// Counts down to an event after n more steps; returns true at the step at which it happens.
inline bool countDown(uint32_t& n)
{
    return n && !--n;
}

// One stand-in as the control address sees it.
class Standin {
public:
    virtual ~Standin() = default;
    virtual const std::string& name() const = 0;
    virtual bool start() = 0;
    virtual void stop() = 0;
    // Returns false when the JSON does not fit.
    virtual bool setFaults(const Json&) = 0;
    virtual Json counters() const = 0;
};

} // namespace jacinthspindle::standins
