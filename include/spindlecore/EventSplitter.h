// Splits a server-sent event (SSE) stream into complete events and parses their identifiers, so that a stream can be
// resumed at another endpoint after the last event that was forwarded to the caller.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jacinthspindle {

// Buffers the bytes of an incomplete event, at most maxPartialEventBytes. Not thread-safe.
class EventSplitter {
public:
    static constexpr size_t maxPartialEventBytes = size_t { 256 } << 10;

    // Parses the next bytes of the stream and appends the events that are complete to out, unchanged. Drops events
    // whose identifier is not greater than lastId(), since a resumed stream may repeat them. Returns false when the
    // incomplete event at the end exceeds maxPartialEventBytes.
    bool feed(std::string_view bytes, std::string& out);

    // Discards the incomplete event when an attempt ends; lastId() and delivered() stay.
    void discardPartialEvent() { m_partialEvent.clear(); }

    // Moves the incomplete event out, for a stream that is read on later; restorePartialEvent() puts it back.
    std::string takePartialEvent() { return std::exchange(m_partialEvent, {}); }
    void restorePartialEvent(std::string bytes) { m_partialEvent = std::move(bytes); }

    // Returns true when an incomplete event is buffered.
    bool isInsideEvent() const { return !m_partialEvent.empty(); }

    // Returns the identifier of the last forwarded event that has one, or the one passed to resumeAfter().
    std::optional<uint64_t> lastId() const { return m_lastId; }
    // Returns the number of forwarded events.
    uint64_t delivered() const { return m_delivered; }

    // Drops events up to this identifier, which the caller has received already.
    void resumeAfter(uint64_t id) { m_lastId = id; }

private:
    void forwardEvent(std::string_view event, std::string& out);

    std::string m_partialEvent; // Bytes of the incomplete event.
    std::optional<uint64_t> m_lastId; // Events up to this identifier are dropped.
    uint64_t m_delivered = 0;
};

} // namespace jacinthspindle
