// Records of the time line. A record holds one input or decision of one state machine, or one change of state.

#pragma once

#include "spindlecore/Types.h"

#include <string>

namespace jacinthspindle {

// The numbers are part of the trace format and never change their meaning.
enum class TraceKind : uint8_t {
    ProcessStarted = 0, // Payload: text with the program's version and settings that matter for a replay.
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
    Gap = 17, // Payload: text with the number of records that were lost before this one.
};

constexpr uint16_t traceFormatVersion = 1;

// Subject of the input records that hold a machine's settings instead of an input.
constexpr const char* traceConfigSubject = "config";

struct TraceRecord {
    uint16_t format = traceFormatVersion;
    HostId host;
    uint64_t incarnation = 0; // Differs between two lives of a process under the same host name.
    uint64_t sequence = 0; // Without gaps within one incarnation, except where a Gap record stands.
    uint64_t logicalTime = 0; // Lamport time: greater than that of each record that may have caused this one.
    Instant at {};
    WallTime wall {}; // For display only.
    uint64_t tableRevision = 0;
    RequestId request; // Empty for records that belong to no request.
    std::string subject; // Endpoint, workspace or machine instance that the record is about; may be empty.
    TraceKind kind = TraceKind::StateChanged;
    std::string payload; // msgpack of the machine's variant, or text.

    bool operator==(const TraceRecord&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.format, self.host, self.incarnation, self.sequence, self.logicalTime, self.at, self.wall,
            self.tableRevision, self.request, self.subject, self.kind, self.payload);
    }
};

// Takes records without ever blocking or failing; what cannot be kept is counted and shown as a Gap record.
// Implementations are thread-safe.
class TraceSink {
public:
    virtual ~TraceSink() = default;
    // Fills host, incarnation, sequence, logicalTime, at and wall; the caller sets the rest.
    virtual void record(TraceRecord) = 0;
};

} // namespace jacinthspindle
