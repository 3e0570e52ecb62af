// Tests of the splitting of event streams: whole events only, whatever the borders of reads are, and no event twice.

#include <doctest/doctest.h>
#include <spindlecore/EventSplitter.h>

using jacinthspindle::EventSplitter;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("events are passed on unchanged and whole for every border between two reads")
{
    for (const std::string stream : { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
             "id: 1\ndata: a\r\n\r\nid: 2\ndata: b\r\n\r\n", "id: 1\ndata: a\n\r\nid: 2\ndata: b\n\r\n" }) {
        for (size_t border = 0; border <= stream.size(); ++border) {
            CAPTURE(border);
            EventSplitter events;
            std::string out;
            CHECK(events.take(stream.substr(0, border), out));
            CHECK(stream.starts_with(out));
            CHECK(events.take(stream.substr(border), out));
            CHECK(out == stream);
            CHECK_FALSE(events.isInsideEvent());
            CHECK(events.lastId() == 2);
        }
    }
}

TEST_CASE("bytes of an event that breaks off are not passed on, and the stream continues after the last whole event")
{
    EventSplitter events;
    std::string out;
    events.take(event(1) + "id: 2\ndata: tok", out);
    CHECK(out == event(1));
    CHECK(events.isInsideEvent());
    events.restart();
    events.take(event(2) + event(3), out);
    CHECK(out == event(1) + event(2) + event(3));
    CHECK(events.delivered() == 3);
}

TEST_CASE("events that a continued stream repeats are left out")
{
    EventSplitter events;
    std::string out;
    events.continueAfter(4);
    events.take(event(3) + event(4) + event(5), out);
    CHECK(out == event(5));
}

TEST_CASE("events without an identifier are passed on")
{
    EventSplitter events;
    std::string out;
    events.take(": keep-alive\n\ndata: x\n\n", out);
    CHECK(out == ": keep-alive\n\ndata: x\n\n");
    CHECK_FALSE(events.lastId());
}

TEST_CASE("an event without an end is held back only up to a bound")
{
    EventSplitter events;
    std::string out;
    CHECK_FALSE(events.take(std::string(EventSplitter::maxHeldBytes + 1, 'x'), out));
    CHECK(out.empty());
}
