// The control thread. It owns the decision core and the machines beside it, takes inputs from one bounded queue, and
// passes each decision to the request's mailbox.

#pragma once

#include "daemon/Mailbox.h"
#include "daemon/Metrics.h"
#include "daemon/TraceRecorder.h"
#include "spindlecore/DecisionCore.h"
#include "spindlecore/TableReplica.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <variant>

namespace jacinthspindle::daemon {

// Inputs of the machines beside the decision core.
using PeerInput
    = std::variant<PeerReceived, HostListSeen, HeadSeen, FetchFailed, ChangesFetched, SnapshotFetched, LeaveStarted>;

// State machines that the control thread owns beside the decision core. All calls come from the control thread; the
// core inputs that a call adds are applied at the same instant, in their order.
class ControlCompanion {
public:
    virtual ~ControlCompanion() = default;
    virtual void start(Instant) = 0;
    virtual void apply(Instant, const PeerInput&, std::vector<CoreInput>&) = 0;
    virtual void tick(Instant, std::vector<CoreInput>&) = 0;
    // The core has applied an input.
    virtual void observe(Instant, const CoreInput&, const std::vector<CoreDecision>&) = 0;
};

// Hands a Reprioritize to the engines; called on the control thread, so it must not block.
using ReprioritizeHandler = std::function<void(const Reprioritize&, const Chain&, const Table&)>;

class ControlLoop {
public:
    ControlLoop(const CoreConfig&, const Clock&, TraceRecorder&, Metrics&, uint32_t queueLimit);
    ~ControlLoop();

    // Both before start().
    void setCompanion(ControlCompanion&);
    void setReprioritizeHandler(ReprioritizeHandler);
    void start();
    // Ends the thread after the inputs that were posted before.
    void stop();

    // Hands a request to the decision core. Returns false when the queue is full: the request was not taken.
    bool arrive(RequestArrived, std::shared_ptr<Mailbox>);
    // Posts what happened to an admitted request, or a change of this daemon. It is never dropped: each traffic thread
    // has at most a few such inputs on the way.
    void post(CoreInput);
    // Posts a hint (progress, load, cache, messages). It is dropped when the queue is full. Returns whether it was
    // taken.
    bool postHint(std::variant<CoreInput, PeerInput>);

    // The table in force; null until one was adopted.
    std::shared_ptr<const Table> table() const;
    size_t queueLength() const;
    // The last input or tick was applied within the limit: the thread is alive.
    bool isAlive(Duration limit) const;

private:
    struct Item {
        std::variant<CoreInput, PeerInput> input;
        std::shared_ptr<Mailbox> mailbox; // Of a RequestArrived.
        Instant postedAt {};
    };
    struct Active {
        std::shared_ptr<Mailbox> mailbox;
        Chain chain; // Of the last dispatch.
    };

    void run();
    bool pushBounded(Item, size_t limit);
    void handle(Item&);
    void applyCore(Instant, const CoreInput&);
    void deliver(const CoreDecision&);
    void tick(Instant);

    const CoreConfig m_config;
    const Clock& m_clock;
    TraceRecorder& m_trace;
    Metrics& m_metrics;
    const size_t m_queueLimit;
    ControlCompanion* m_companion = nullptr;
    ReprioritizeHandler m_reprioritize;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Item> m_queue;
    bool m_isStopping = false;
    mutable std::mutex m_tableMutex;
    std::shared_ptr<const Table> m_table;
    std::atomic<int64_t> m_lastStep { 0 };

    // Owned by the control thread.
    DecisionCore m_core;
    std::unordered_map<RequestId, Active> m_requests;
    std::vector<CoreDecision> m_decisions;
    uint32_t m_ticks = 0;

    std::thread m_thread;
};

} // namespace jacinthspindle::daemon
