// Tests of the splitting of event streams: only complete events, wherever a read ends, and no event twice.

#include <doctest/doctest.h>
#include <spindlecore/EventSplitter.h>

using jacinthspindle::EventSplitter;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("events are forwarded complete and unchanged for every boundary between two reads")
{
    for (const std::string stream : { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
             "id: 1\ndata: a\r\n\r\nid: 2\ndata: b\r\n\r\n", "id: 1\ndata: a\n\r\nid: 2\ndata: b\n\r\n" }) {
        for (size_t boundary = 0; boundary <= stream.size(); ++boundary) {
            CAPTURE(boundary);
            EventSplitter events;
            std::string out;
            CHECK(events.feed(stream.substr(0, boundary), out));
            CHECK(stream.starts_with(out));
            CHECK(events.feed(stream.substr(boundary), out));
            CHECK(out == stream);
            CHECK_FALSE(events.isInsideEvent());
            CHECK(events.lastId() == 2);
        }
    }
}

TEST_CASE("an incomplete event is not forwarded, and the stream resumes after the last complete event")
{
    EventSplitter events;
    std::string out;
    events.feed(event(1) + "id: 2\ndata: tok", out);
    CHECK(out == event(1));
    CHECK(events.isInsideEvent());
    events.discardPartialEvent();
    events.feed(event(2) + event(3), out);
    CHECK(out == event(1) + event(2) + event(3));
    CHECK(events.delivered() == 3);
}

TEST_CASE("events that a resumed stream repeats are dropped")
{
    EventSplitter events;
    std::string out;
    events.resumeAfter(4);
    events.feed(event(3) + event(4) + event(5), out);
    CHECK(out == event(5));
}

TEST_CASE("events without an identifier are forwarded")
{
    EventSplitter events;
    std::string out;
    events.feed(": keep-alive\n\ndata: x\n\n", out);
    CHECK(out == ": keep-alive\n\ndata: x\n\n");
    CHECK_FALSE(events.lastId());
}

TEST_CASE("an incomplete event is buffered only up to a maximum size")
{
    EventSplitter events;
    std::string out;
    CHECK_FALSE(events.feed(std::string(EventSplitter::maxPartialEventBytes + 1, 'x'), out));
    CHECK(out.empty());
}
