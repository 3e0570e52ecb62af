// Boundaries and identifiers of server-sent events.

#include "spindlecore/EventSplitter.h"

#include <charconv>

namespace jacinthspindle {

namespace {

    // Returns the length of the first event in bytes with its blank line, or 0 when none has ended.
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

void EventSplitter::passOn(std::string_view event, std::string& out)
{
    auto id = idOf(event);
    if (id && m_lastId && *id <= *m_lastId)
        return;
    if (id)
        m_lastId = id;
    ++m_delivered;
    out.append(event);
}

bool EventSplitter::take(std::string_view bytes, std::string& out)
{
    // An end may lie across the border between the held bytes and the new ones: a line end, a carriage return and a
    // second line end.
    size_t searchFrom = m_held.size() > 2 ? m_held.size() - 2 : 0;
    m_held.append(bytes);
    std::string_view rest = m_held;
    while (size_t n = eventLength(rest, searchFrom)) {
        passOn(rest.substr(0, n), out);
        rest.remove_prefix(n);
        searchFrom = 0;
    }
    m_held.erase(0, m_held.size() - rest.size());
    return m_held.size() <= maxHeldBytes;
}

} // namespace jacinthspindle
