// Cuts a server-sent event stream into whole events and reads their identifiers, so that a stream can be continued at
// another endpoint after the last event that the caller received.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle {

// Not thread-safe. Bytes of an event that has not ended are held back, at most maxHeldBytes of them.
class EventSplitter {
public:
    static constexpr size_t maxHeldBytes = size_t { 256 } << 10;

    // Takes bytes of the stream and appends the whole events among them to out, unchanged. Events whose identifier is
    // not greater than the last delivered one are left out: a continued stream may begin with them. Returns false when
    // an event exceeds maxHeldBytes.
    bool take(std::string_view bytes, std::string& out);

    // The attempt ended; what was held back of it is dropped.
    void restart() { m_held.clear(); }

    // True when the last bytes belong to an event that has not ended.
    bool isInsideEvent() const { return !m_held.empty(); }

    // Of the last event that was passed on.
    std::optional<uint64_t> lastId() const { return m_lastId; }
    uint64_t delivered() const { return m_delivered; }

    // The caller has everything up to this event already.
    void continueAfter(uint64_t id) { m_lastId = id; }

private:
    void passOn(std::string_view event, std::string& out);

    std::string m_held; // Bytes of the event that has not ended.
    std::optional<uint64_t> m_lastId;
    uint64_t m_delivered = 0;
};

} // namespace jacinthspindle
