// What the actions of this daemon share: the platform's rows, the attempts that other daemons may ask about, and the
// questions to other daemons.

#pragma once

#include "daemon/Metrics.h"
#include "spindlecore/ActionMachine.h"
#include "spindlecore/Clock.h"
#include "spindlecore/PeerMessage.h"
#include "spindlecore/Ports.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace jacinthspindle::daemon {

// Thread-safe.
class ActionLedger {
public:
    // One attempt of this daemon. The machine is used by its traffic thread and read when another daemon asks.
    struct Entry {
        AttemptId attempt;

        ActionOutput apply(Instant now, const ActionInput& input)
        {
            std::lock_guard lock(m_mutex);
            return m_machine.apply(now, input);
        }
        OwnerVerdict verdict()
        {
            std::lock_guard lock(m_mutex);
            return m_machine.verdict();
        }
        std::optional<WriteRow> abandonedRow(uint64_t version)
        {
            std::lock_guard lock(m_mutex);
            return m_machine.abandonedRow(version);
        }

    private:
        std::mutex m_mutex;
        ActionMachine m_machine;
    };

    // Keeps an entry known while the action runs; afterwards it stays known for a while.
    class Registration {
    public:
        Registration(ActionLedger&, std::shared_ptr<Entry>);
        ~Registration();
        Registration(const Registration&) = delete;
        Registration& operator=(const Registration&) = delete;

    private:
        ActionLedger& m_ledger;
        std::shared_ptr<Entry> m_entry;
    };

    // Sends a query to the daemon of a host; returns false when that daemon is not known as alive.
    using QuerySender = std::function<bool(const HostId&, const ActionQuery&)>;
    using VerdictSender = std::function<void(const HostId&, const ActionVerdict&)>;

    ActionLedger(TableService&, const Clock&, const HostId& self, uint64_t incarnation);
    ~ActionLedger();

    void start(QuerySender, VerdictSender);
    // Ends the worker; repairs that are still waiting are given up.
    void stop();

    TableService& tables() { return m_tables; }

    // Returns the row of the ledger's floor, at most a few seconds old.
    ReadAnswer floor(const WorkspaceId&, std::chrono::milliseconds timeout);
    void forgetFloor(const WorkspaceId&);

    // Asks the daemon of the row's attempt. Unknown when no answer comes in time.
    OwnerVerdict ask(const AskOwner&, std::chrono::milliseconds timeout);

    // Both are called by the receiver of peer messages and do not block.
    void onQuery(const HostId& asker, const ActionQuery&);
    void onVerdict(const ActionVerdict&);

    // Commits a row in the background until it is committed or conflicts.
    void repair(const WriteRow&);

private:
    struct Floor {
        ReadAnswer answer;
        Instant readAt {};
    };
    struct Question {
        std::string attempt;
        std::optional<OwnerVerdict> verdict;
    };

    void run();
    void push(std::function<bool()>);
    void answerQuery(const HostId& asker, const ActionQuery&);

    TableService& m_tables;
    const Clock& m_clock;
    const HostId m_self;
    const uint64_t m_incarnation;
    QuerySender m_sendQuery;
    VerdictSender m_sendVerdict;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::shared_ptr<Entry>> m_entries; // By the attempt's text.
    std::deque<std::string> m_ended; // Attempts that ended, oldest first; bounded.
    std::map<WorkspaceId, Floor> m_floors; // Bounded.
    std::map<uint64_t, Question> m_questions;
    uint64_t m_lastQuestion = 0;
    std::deque<std::function<bool()>> m_work; // Returns true when it is done; bounded.
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace jacinthspindle::daemon
