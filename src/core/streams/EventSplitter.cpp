// Parser for the boundaries and identifiers of server-sent events. Lines end with LF or CRLF.

#include "spindlecore/EventSplitter.h"

#include <charconv>

namespace jacinthspindle {

namespace {

    // Returns the length in bytes of the first event including its blank line, or 0 when no event is complete.
    // The end is searched from searchFrom on.
    size_t eventLength(std::string_view bytes, size_t searchFrom)
    {
        for (auto end = bytes.find('\n', searchFrom); end != std::string_view::npos; end = bytes.find('\n', end + 1)) {
            size_t next = end + 1;
            if (next < bytes.size() && bytes[next] == '\r')
                ++next;
            if (next < bytes.size() && bytes[next] == '\n')
                return next + 1;
        }
        return 0;
    }

    // Returns the first numeric identifier of the event, or nothing when it has none.
    std::optional<uint64_t> idOf(std::string_view event)
    {
        while (!event.empty()) {
            auto line = event.substr(0, event.find('\n'));
            event.remove_prefix(std::min(event.size(), line.size() + 1));
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
            uint64_t id = 0;
            auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
            if (ec == std::errc())
                return id;
        }
        return std::nullopt;
    }

} // namespace

void EventSplitter::forwardEvent(std::string_view event, std::string& out)
{
    auto id = idOf(event);
    if (id && m_lastId && *id <= *m_lastId)
        return;
    if (id)
        m_lastId = id;
    ++m_delivered;
    out.append(event);
}

bool EventSplitter::feed(std::string_view bytes, std::string& out)
{
    // The end of an event is LF LF or LF CR LF. Its first two bytes may be at the end of the buffered bytes.
    size_t searchFrom = m_partialEvent.size() > 2 ? m_partialEvent.size() - 2 : 0;
    m_partialEvent.append(bytes);
    std::string_view remaining = m_partialEvent;
    while (size_t n = eventLength(remaining, searchFrom)) {
        forwardEvent(remaining.substr(0, n), out);
        remaining.remove_prefix(n);
        searchFrom = 0;
    }
    m_partialEvent.erase(0, m_partialEvent.size() - remaining.size());
    return m_partialEvent.size() <= maxPartialEventBytes;
}

} // namespace jacinthspindle
