// Identifiers and random numbers of one process, and the W3C trace context of a request.

#pragma once

#include "spindlecore/ActionMachine.h"
#include "spindlecore/Types.h"

#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace jacinthspindle::daemon {

// The values of a traceparent header, version 00.
struct TraceParent {
    std::string traceId; // 32 hexadecimal digits, not all 0.
    std::string spanId; // 16 hexadecimal digits, not all 0.
    bool isSampled = false;

    std::string text() const;
};

// Returns nothing for a header that the recommendation calls invalid; such a header is to be ignored.
std::optional<TraceParent> parseTraceParent(std::string_view);

// Thread-safe.
class Identities {
public:
    Identities(HostId, uint64_t incarnation, uint64_t seed);

    // "<host>.<incarnation>.<number>"; unique among all lives of all daemons.
    RequestId nextRequest();
    AttemptId nextAttempt();
    uint64_t random();
    // Continues a caller's trace, or starts one.
    TraceParent childOf(const std::optional<TraceParent>&);

private:
    const HostId m_host;
    const uint64_t m_incarnation;
    std::mutex m_mutex;
    uint64_t m_lastRequest = 0;
    uint64_t m_lastAttempt = 0;
    std::mt19937_64 m_random;
};

} // namespace jacinthspindle::daemon
