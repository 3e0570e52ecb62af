// The ring of trace records and its flush to the object store.

#include "daemon/TraceRecorder.h"

#include "spindleadapters/TraceCodec.h"

#include <algorithm>
#include <cstdio>

namespace jacinthspindle::daemon {

namespace {

    // 880 daemons with this interval write 88 batches per second, a fraction of the several hundred that the store
    // takes.
    constexpr std::chrono::seconds flushInterval { 10 };
    constexpr std::chrono::milliseconds flushPoll { 200 };
    constexpr std::chrono::milliseconds storeTimeout { 2000 };
    constexpr size_t maxBatchBytes = 4 << 20;

} // namespace

TraceRecorder::TraceRecorder(const TraceIdentity& identity, const Clock& clock, Metrics& metrics, size_t capacity)
    : m_identity(identity)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_slots(capacity)
{
}

void TraceRecorder::record(TraceRecord record)
{
    recordAt(std::move(record), m_clock.now());
}

void TraceRecorder::recordAt(TraceRecord record, Instant at)
{
    record.host = m_identity.host;
    record.incarnation = m_identity.incarnation;
    record.at = at;
    record.wall = m_clock.wallNow();
    record.sequence = m_nextSequence.fetch_add(1, std::memory_order_acq_rel);
    record.logicalTime = m_logicalTime.fetch_add(1, std::memory_order_acq_rel) + 1;
    auto bytes = encodeRecord(record);
    m_metrics.add(Counter::TraceRecords);
    size_t index = record.sequence % m_slots.size();
    auto& slot = m_slots[index];
    std::lock_guard lock(m_locks[index % lockCount]);
    // A writer that was delayed for a whole round of the ring must not replace a newer record.
    if (slot.sequence != noSequence && slot.sequence > record.sequence)
        return;
    slot.sequence = record.sequence;
    slot.logicalTime = record.logicalTime;
    slot.bytes.swap(bytes);
}

void TraceRecorder::observe(uint64_t logicalTime)
{
    uint64_t own = m_logicalTime.load(std::memory_order_relaxed);
    while (own < logicalTime && !m_logicalTime.compare_exchange_weak(own, logicalTime)) { }
}

std::string TraceRecorder::gapBefore(uint64_t sequence, uint64_t logicalTime, uint64_t lost)
{
    TraceRecord gap;
    gap.host = m_identity.host;
    gap.incarnation = m_identity.incarnation;
    gap.sequence = sequence - 1;
    gap.logicalTime = logicalTime ? logicalTime - 1 : 0;
    gap.at = m_clock.now();
    gap.wall = m_clock.wallNow();
    gap.kind = TraceKind::Gap;
    gap.payload = std::to_string(lost);
    return encodeRecord(gap);
}

TraceBatch TraceRecorder::read(uint64_t from, size_t maxBytes)
{
    TraceBatch batch;
    uint64_t end = nextSequence();
    uint64_t oldest = end > m_slots.size() ? end - m_slots.size() : 0;
    uint64_t start = std::min(std::max(from, oldest), end);
    batch.first = start > from ? start - 1 : start;
    batch.next = start;
    uint64_t lost = start > from ? start - from : 0;
    for (uint64_t sequence = start; sequence < end && batch.bytes.size() < maxBytes; ++sequence) {
        size_t index = sequence % m_slots.size();
        std::lock_guard lock(m_locks[index % lockCount]);
        const auto& slot = m_slots[index];
        bool isUnwritten = slot.sequence == noSequence || slot.sequence < sequence;
        if (isUnwritten)
            break;
        batch.next = sequence + 1;
        if (slot.sequence > sequence) {
            ++lost;
            continue;
        }
        if (lost) {
            if (batch.bytes.empty())
                batch.first = sequence - 1;
            batch.bytes += gapBefore(sequence, slot.logicalTime, lost);
            lost = 0;
        }
        batch.bytes += slot.bytes;
    }
    // Records that were overwritten at the end of the range are reported with the next batch.
    if (lost)
        batch.next -= std::min(lost, batch.next - from);
    return batch;
}

TraceFlusher::TraceFlusher(TraceRecorder& recorder, ObjectStore& store, Metrics& metrics, size_t capacity)
    : m_recorder(recorder)
    , m_store(store)
    , m_metrics(metrics)
    , m_flushAt(std::max<uint64_t>(1, capacity / 4))
{
}

TraceFlusher::~TraceFlusher()
{
    stop(std::chrono::milliseconds(0));
}

void TraceFlusher::start()
{
    m_thread = std::thread([this] { run(); });
}

void TraceFlusher::stop(std::chrono::milliseconds limit)
{
    if (!m_thread.joinable())
        return;
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    auto end = std::chrono::steady_clock::now() + limit;
    while (m_flushed < m_recorder.nextSequence() && std::chrono::steady_clock::now() < end) {
        if (!flushOnce())
            std::this_thread::sleep_for(flushPoll);
    }
}

void TraceFlusher::run()
{
    auto nextFlush = std::chrono::steady_clock::now() + flushInterval;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_wake.wait_for(lock, flushPoll);
        bool isFull = m_recorder.nextSequence() - m_flushed >= m_flushAt;
        if (m_isStopping || (!isFull && std::chrono::steady_clock::now() < nextFlush))
            continue;
        lock.unlock();
        flushOnce();
        nextFlush = std::chrono::steady_clock::now() + flushInterval;
        lock.lock();
    }
}

bool TraceFlusher::flushOnce()
{
    auto batch = m_recorder.read(m_flushed, maxBatchBytes);
    if (batch.bytes.empty())
        return false;
    if (batch.first > m_flushed)
        m_metrics.add(Counter::TraceRecordsLost, batch.first + 1 - m_flushed);
    char number[24];
    std::snprintf(number, sizeof(number), "%012llu", static_cast<unsigned long long>(batch.first));
    const auto& identity = m_recorder.identity();
    auto name = "trace/" + identity.host.value() + "/" + std::to_string(identity.incarnation) + "/" + number;
    if (!m_store.put(name, batch.bytes, storeTimeout)) {
        m_metrics.add(Counter::TraceBatchesFailed);
        return false;
    }
    m_metrics.add(Counter::TraceBatches);
    m_flushed = batch.next;
    return true;
}

} // namespace jacinthspindle::daemon
