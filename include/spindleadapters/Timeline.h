// The time line: the records of all daemons in one causal order, with filters and a text form.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

struct TimelineFilter {
    std::optional<RequestId> request;
    std::string subject; // Endpoint, workspace or other subject; empty for all.
};

// Sorts by logical time, which is greater for an effect than for its cause, whatever the hosts' clocks say. Equal
// logical times are concurrent and are sorted by host, incarnation and sequence. Doubled records are dropped.
std::vector<TraceRecord> mergeTimeline(std::vector<TraceRecord>, const TimelineFilter&);

// Returns the name of a record's kind, for example "decision".
const char* traceKindName(TraceKind);

// Describes a record's payload in one line: the alternative's name and its main members, or the text.
std::string describeRecord(const TraceRecord&);

} // namespace jacinthspindle
