// The trace of this daemon: a ring of encoded records that never blocks its writers, and the batches for the object
// store.

#pragma once

#include "daemon/Metrics.h"
#include "spindlecore/Clock.h"
#include "spindlecore/Ports.h"
#include "spindlecore/Trace.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jacinthspindle::daemon {

struct TraceIdentity {
    HostId host;
    uint64_t incarnation = 0;
};

// Concatenated encoded records and the sequence number after the last of them.
struct TraceBatch {
    std::string bytes;
    uint64_t first = 0;
    uint64_t next = 0;
};

// Thread-safe. A record that is overwritten before it is read appears to the reader as part of a Gap record, which
// takes the sequence number of the last lost record and states how many were lost.
class TraceRecorder final : public TraceSink {
public:
    TraceRecorder(const TraceIdentity&, const Clock&, Metrics&, size_t capacity);

    void record(TraceRecord) override;
    // As record(), at an instant that the caller has given to a state machine.
    void recordAt(TraceRecord, Instant);

    // Moves the logical clock past the time of a message that was received.
    void observe(uint64_t logicalTime);
    uint64_t logicalTime() const { return m_logicalTime.load(std::memory_order_relaxed); }

    // Returns the records from sequence number from on, up to about maxBytes.
    TraceBatch read(uint64_t from, size_t maxBytes);
    uint64_t nextSequence() const { return m_nextSequence.load(std::memory_order_acquire); }

    const TraceIdentity& identity() const { return m_identity; }

private:
    struct Slot {
        uint64_t sequence = noSequence;
        uint64_t logicalTime = 0;
        std::string bytes;
    };
    static constexpr uint64_t noSequence = UINT64_MAX;
    static constexpr size_t lockCount = 64;

    std::string gapBefore(uint64_t sequence, uint64_t logicalTime, uint64_t lost);

    const TraceIdentity m_identity;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::atomic<uint64_t> m_nextSequence { 0 };
    std::atomic<uint64_t> m_logicalTime { 0 };
    std::array<std::mutex, lockCount> m_locks; // Slot i belongs to lock i % lockCount.
    std::vector<Slot> m_slots;
};

// Writes the trace to the object store in batches, best effort, on its own thread.
class TraceFlusher {
public:
    TraceFlusher(TraceRecorder&, ObjectStore&, Metrics&, size_t capacity);
    ~TraceFlusher();

    void start();
    // Flushes what is left, giving up after the time limit, and ends the thread.
    void stop(std::chrono::milliseconds limit);

private:
    void run();
    // Returns whether a batch was stored.
    bool flushOnce();

    TraceRecorder& m_recorder;
    ObjectStore& m_store;
    Metrics& m_metrics;
    const uint64_t m_flushAt; // Unflushed records that start a batch before its time.
    uint64_t m_flushed = 0; // Owned by the thread that flushes.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace jacinthspindle::daemon
