// Trace records, which form the time line of a process. A record holds one input or output of a state machine, or one
// state change.

#pragma once

#include "spindlecore/Types.h"

#include <string>

namespace jacinthspindle {

// The values are part of the trace format: existing values are never reused or renumbered.
enum class TraceKind : uint8_t {
    ProcessStarted = 0, // Payload: text with the program's version and the settings needed for a replay.
    CoreConfig = 1,
    CoreInput = 2,
    CoreDecision = 3,
    ActionInput = 4,
    ActionOutput = 5,
    OrderInput = 6,
    OrderOutput = 7,
    StreamInput = 8,
    StreamOutput = 9,
    ReplicaInput = 10,
    ReplicaOutput = 11,
    LimitInput = 12,
    LimitOutput = 13,
    MembershipInput = 14,
    MembershipOutput = 15,
    StateChanged = 16, // Payload: text.
    Gap = 17, // Payload: text with the number of records lost before this one.
};

constexpr uint16_t traceFormatVersion = 1;

// Subject of input records that hold the settings of a state machine instead of an input.
constexpr const char* traceConfigSubject = "config";

struct TraceRecord {
    uint16_t format = traceFormatVersion;
    HostId host;
    uint64_t incarnation = 0; // Identifies one run of the process; differs after each restart on the same host.
    uint64_t sequence = 0; // Contiguous within one incarnation, except before a Gap record.
    uint64_t logicalTime = 0; // Lamport timestamp: greater than that of every record that may have caused this one.
    Instant at {};
    WallTime wall {}; // For display only.
    uint64_t tableRevision = 0;
    RequestId request; // Empty for records that belong to no request.
    std::string subject; // Endpoint, workspace or state machine instance that the record is about; may be empty.
    TraceKind kind = TraceKind::StateChanged;
    std::string payload; // MessagePack encoding of the state machine's variant, or text.

    bool operator==(const TraceRecord&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.format, self.host, self.incarnation, self.sequence, self.logicalTime, self.at, self.wall,
            self.tableRevision, self.request, self.subject, self.kind, self.payload);
    }
};

// Receives trace records. Implementations are thread-safe; record() never blocks or fails. Records that cannot be
// stored are counted and replaced by a Gap record.
class TraceSink {
public:
    virtual ~TraceSink() = default;
    // Fills host, incarnation, sequence, logicalTime, at and wall; the caller sets the rest.
    virtual void record(TraceRecord) = 0;
};

} // namespace jacinthspindle
