// Encoding and writing of log lines.

#include "router/Journal.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace jacinthspindle::router {

namespace {

    const char* kindName(LineKind kind)
    {
        switch (kind) {
        case LineKind::Info:
            return "info";
        case LineKind::Decision:
            return "decision";
        case LineKind::Warning:
            break;
        }
        return "warning";
    }

} // namespace

Journal::Journal(const Clock& clock, std::string host, int descriptor)
    : m_clock(clock)
    , m_host(std::move(host))
    , m_descriptor(descriptor)
{
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

bool Journal::isWithinBound(Instant now)
{
    if (now - m_secondBegan >= std::chrono::seconds(1)) {
        m_secondBegan = now;
        m_inSecond = 0;
    }
    return ++m_inSecond <= maxDecisionsPerSecond;
}

void Journal::write(LineKind kind, std::string_view event, const std::vector<LineField>& fields)
{
    std::lock_guard lock(m_mutex);
    auto now = m_clock.now();
    if (kind == LineKind::Decision && !isWithinBound(now)) {
        ++m_suppressed;
        ++m_unreported;
        return;
    }
    nlohmann::ordered_json line;
    line["at_ms"] = millisecondsOf(now.time_since_epoch());
    line["wall_ms"] = m_clock.wallNow().time_since_epoch().count();
    line["host"] = m_host;
    line["level"] = kindName(kind);
    line["event"] = event;
    for (const auto& it : fields)
        std::visit([&](const auto& value) { line[it.name] = value; }, it.value);
    if (m_unreported)
        line["suppressed"] = m_unreported;
    auto text = m_unsent + line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    auto written = ::write(m_descriptor, text.data(), text.size());
    if (written <= 0) {
        // The pipe is full: the line is dropped, and the rest of an earlier one is kept so that lines stay whole.
        ++m_suppressed;
        ++m_unreported;
        return;
    }
    m_unreported = 0;
    m_unsent = text.substr(static_cast<size_t>(written));
}

} // namespace jacinthspindle::router
