// What all traffic threads share, and the way of one request from its arrival to its first decision.

#pragma once

#include "daemon/ControlLoop.h"
#include "daemon/EngineSignals.h"
#include "daemon/Identities.h"
#include "daemon/Metrics.h"
#include "daemon/TraceRecorder.h"
#include "spindlecore/Clock.h"
#include "spindlecore/Ports.h"
#include "spindlecore/StreamCursor.h"

#include <atomic>
#include <memory>
#include <optional>

namespace jacinthspindle::daemon {

// References must outlive all traffic threads.
struct TrafficContext {
    const Clock& clock;
    ControlLoop& control;
    ModelEngine& engine;
    PlainService& service;
    EngineSignals& signals;
    Identities& identities;
    Metrics& metrics;
    TraceRecorder& trace;
    const CursorCodec& cursors;
};

// Records which W3C trace a request belongs to.
void recordTraceParent(TraceSink&, const RequestId&, const std::string& traceParent);

// How a request ended for its caller.
struct RequestEnd {
    ResultCode code = ResultCode::Ok;
    Execution ran = Execution::Ran;
    Duration retryAfter {};
    std::string detail;
};

// The decisions for one request. Its owner is the request's traffic thread. Unless the request has ended by then, the
// destructor tells the decision core that the caller is gone, so that no slot stays occupied.
class Admission {
public:
    Admission(TrafficContext&, RequestArrived);
    ~Admission();
    Admission(const Admission&) = delete;
    Admission& operator=(const Admission&) = delete;

    // Hands the request to the decision core and waits for the first decision. Returns how the request ended, or
    // nothing when it was dispatched.
    std::optional<RequestEnd> admit();
    // Reports that the current attempt failed and waits for the next decision, likewise.
    std::optional<RequestEnd> retry(const EndpointId& atFault, FailureKind, uint32_t position, bool mayRepeat);
    // Reports that the current attempt is silent. It runs on, and another one is dispatched only if it is permitted.
    void reportSilence(uint32_t position);
    // Another attempt was dispatched in place of the silent one.
    bool isMoved() const { return m_hasAsked && m_mailbox->hasDelivery(); }
    // Takes that dispatch; likewise.
    std::optional<RequestEnd> move();
    void finish(uint32_t tokens);
    // Ends the request without an answer.
    void giveUp();

    const RequestId& request() const { return m_arrival.request; }
    const RequestArrived& arrival() const { return m_arrival; }
    Instant arrivedAt() const { return m_arrivedAt; }
    Duration remaining() const;
    // The decision core has ended the request while the current attempt runs.
    bool isEnded() const { return m_mailbox->isEnded(); }

    // Valid after a dispatch.
    const Dispatch& dispatch() const { return m_dispatch; }
    const Table& table() const { return *m_table; }
    const std::shared_ptr<const Table>& sharedTable() const { return m_table; }

private:
    std::optional<RequestEnd> waitForDecision(Duration limit);

    TrafficContext& m_context;
    RequestArrived m_arrival;
    const Instant m_arrivedAt;
    std::shared_ptr<Mailbox> m_mailbox;
    Dispatch m_dispatch;
    std::shared_ptr<const Table> m_table;
    bool m_isOpen = false; // The decision core knows the request and has not ended it.
    bool m_wasDispatched = false;
    bool m_hasAsked = false; // Whether the current attempt may be replaced; a refusal is not answered.
};

} // namespace jacinthspindle::daemon
