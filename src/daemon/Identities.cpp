// Making of identifiers, and the traceparent header.

#include "daemon/Identities.h"

#include <algorithm>
#include <cstdio>

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t traceParentLength = 55;

    bool isHex(std::string_view text)
    {
        return std::all_of(
            text.begin(), text.end(), [](char it) { return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f'); });
    }

    bool isZero(std::string_view text)
    {
        return text.find_first_not_of('0') == std::string_view::npos;
    }

    std::string hex64(uint64_t value)
    {
        char buf[spanIdDigits + 1];
        std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(value));
        return buf;
    }

} // namespace

std::string TraceParent::text() const
{
    return "00-" + traceId + "-" + spanId + (isSampled ? "-01" : "-00");
}

std::optional<TraceParent> parseTraceParent(std::string_view text)
{
    // A later version may be longer, but its first four fields have this form.
    if (text.size() < traceParentLength || text.substr(0, 2) == "ff" || !isHex(text.substr(0, 2)))
        return std::nullopt;
    if (text.size() > traceParentLength && (text.substr(0, 2) == "00" || text[traceParentLength] != '-'))
        return std::nullopt;
    auto traceId = text.substr(3, traceIdDigits);
    auto spanId = text.substr(36, spanIdDigits);
    auto flags = text.substr(53, 2);
    bool hasForm = text[2] == '-' && text[35] == '-' && text[52] == '-' && isHex(traceId) && isHex(spanId)
        && isHex(flags) && !isZero(traceId) && !isZero(spanId);
    if (!hasForm)
        return std::nullopt;
    char last = flags[1];
    int low = last <= '9' ? last - '0' : last - 'a' + 10;
    return TraceParent { std::string(traceId), std::string(spanId), (low & 1) != 0 };
}

Identities::Identities(HostId host, uint64_t incarnation, uint64_t seed)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_random(seed)
{
}

RequestId Identities::nextRequest()
{
    std::lock_guard lock(m_mutex);
    return RequestId(m_host.value() + "." + std::to_string(m_incarnation) + "." + std::to_string(++m_lastRequest));
}

AttemptId Identities::nextAttempt()
{
    std::lock_guard lock(m_mutex);
    return { m_host, m_incarnation, ++m_lastAttempt };
}

uint64_t Identities::random()
{
    std::lock_guard lock(m_mutex);
    return m_random();
}

TraceParent Identities::childOf(const std::optional<TraceParent>& parent)
{
    TraceParent child;
    child.traceId = parent ? parent->traceId : hex64(random()) + hex64(random() | 1);
    child.spanId = hex64(random() | 1);
    child.isSampled = !parent || parent->isSampled;
    return child;
}

} // namespace jacinthspindle::daemon
