// Attempts, questions and repairs of actions.

#include "daemon/ActionLedger.h"

#include "spindleadapters/ActionCodec.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t maxEnded = 512; // Each holds an answer of at most 16 KiB.
    constexpr size_t maxFloors = 4096;
    constexpr size_t maxWork = 1024;
    constexpr std::chrono::seconds floorAge { 5 };
    constexpr std::chrono::milliseconds storeTimeout { 2000 };
    constexpr std::chrono::milliseconds workPause { 200 };

    std::string attemptText(const AttemptId& attempt)
    {
        return attempt.host.value() + "/" + std::to_string(attempt.incarnation) + "/" + std::to_string(attempt.counter);
    }

    PeerActionState stateOf(OwnerVerdict verdict)
    {
        switch (verdict) {
        case OwnerVerdict::Abandoned:
            return PeerActionState::Abandoned;
        case OwnerVerdict::InProgress:
            return PeerActionState::InProgress;
        case OwnerVerdict::Unknown:
            break;
        }
        return PeerActionState::Unknown;
    }

    OwnerVerdict verdictOf(PeerActionState state)
    {
        switch (state) {
        case PeerActionState::Abandoned:
            return OwnerVerdict::Abandoned;
        case PeerActionState::InProgress:
            return OwnerVerdict::InProgress;
        case PeerActionState::Unknown:
            break;
        }
        return OwnerVerdict::Unknown;
    }

} // namespace

ActionLedger::Registration::Registration(ActionLedger& ledger, std::shared_ptr<Entry> entry)
    : m_ledger(ledger)
    , m_entry(std::move(entry))
{
    std::lock_guard lock(m_ledger.m_mutex);
    m_ledger.m_entries[attemptText(m_entry->attempt)] = m_entry;
}

ActionLedger::Registration::~Registration()
{
    std::lock_guard lock(m_ledger.m_mutex);
    m_ledger.m_ended.push_back(attemptText(m_entry->attempt));
    while (m_ledger.m_ended.size() > maxEnded) {
        m_ledger.m_entries.erase(m_ledger.m_ended.front());
        m_ledger.m_ended.pop_front();
    }
}

ActionLedger::ActionLedger(TableService& tables, const Clock& clock, const HostId& self, uint64_t incarnation)
    : m_tables(tables)
    , m_clock(clock)
    , m_self(self)
    , m_incarnation(incarnation)
{
}

ActionLedger::~ActionLedger()
{
    stop();
}

void ActionLedger::start(QuerySender sendQuery, VerdictSender sendVerdict)
{
    m_sendQuery = std::move(sendQuery);
    m_sendVerdict = std::move(sendVerdict);
    m_thread = std::thread([this] { run(); });
}

void ActionLedger::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

ReadAnswer ActionLedger::floor(const WorkspaceId& workspace, std::chrono::milliseconds timeout)
{
    auto now = m_clock.now();
    {
        std::lock_guard lock(m_mutex);
        auto it = m_floors.find(workspace);
        if (it != m_floors.end() && now - it->second.readAt < floorAge)
            return it->second.answer;
    }
    auto answer = m_tables.read(actionFloorKey(workspace), timeout);
    if (answer.outcome == ReadOutcome::Unavailable)
        return answer;
    std::lock_guard lock(m_mutex);
    if (m_floors.size() >= maxFloors)
        m_floors.clear();
    m_floors[workspace] = { answer, now };
    return answer;
}

void ActionLedger::forgetFloor(const WorkspaceId& workspace)
{
    std::lock_guard lock(m_mutex);
    m_floors.erase(workspace);
}

OwnerVerdict ActionLedger::ask(const AskOwner& question, std::chrono::milliseconds timeout)
{
    auto attempt = attemptText(question.attempt);
    if (question.attempt.host == m_self && question.attempt.incarnation == m_incarnation) {
        std::shared_ptr<Entry> entry;
        {
            std::lock_guard lock(m_mutex);
            auto it = m_entries.find(attempt);
            if (it == m_entries.end())
                return OwnerVerdict::Unknown;
            entry = it->second;
        }
        if (auto row = entry->abandonedRow(question.version))
            m_tables.commit(toTransaction(*row), timeout);
        return entry->verdict();
    }
    uint64_t number = 0;
    {
        std::lock_guard lock(m_mutex);
        number = ++m_lastQuestion;
        m_questions[number] = { attempt, std::nullopt };
    }
    ActionQuery query { question.key, attempt, question.version, question.attempt.incarnation };
    bool isSent = m_sendQuery && m_sendQuery(question.attempt.host, query);
    std::unique_lock lock(m_mutex);
    auto it = m_questions.find(number);
    if (isSent)
        m_changed.wait_for(lock, timeout, [&] { return it->second.verdict || m_isStopping; });
    auto verdict = it->second.verdict.value_or(OwnerVerdict::Unknown);
    m_questions.erase(it);
    return verdict;
}

void ActionLedger::onVerdict(const ActionVerdict& verdict)
{
    {
        std::lock_guard lock(m_mutex);
        for (auto& [number, question] : m_questions) {
            if (question.attempt == verdict.attempt)
                question.verdict = verdictOf(verdict.state);
        }
    }
    m_changed.notify_all();
}

void ActionLedger::onQuery(const HostId& asker, const ActionQuery& query)
{
    push([this, asker, query] {
        answerQuery(asker, query);
        return true;
    });
}

void ActionLedger::answerQuery(const HostId& asker, const ActionQuery& query)
{
    std::shared_ptr<Entry> entry;
    if (query.incarnation == m_incarnation) {
        std::lock_guard lock(m_mutex);
        if (auto it = m_entries.find(query.attempt); it != m_entries.end())
            entry = it->second;
    }
    ActionVerdict verdict { query.row, query.attempt, query.version, PeerActionState::Unknown };
    if (entry) {
        if (auto row = entry->abandonedRow(query.version))
            m_tables.commit(toTransaction(*row), storeTimeout);
        verdict.state = stateOf(entry->verdict());
    }
    if (m_sendVerdict)
        m_sendVerdict(asker, verdict);
}

void ActionLedger::repair(const WriteRow& row)
{
    push([this, row] {
        auto outcome = m_tables.commit(toTransaction(row), storeTimeout);
        return outcome == CommitOutcome::Committed || outcome == CommitOutcome::Conflict;
    });
}

void ActionLedger::push(std::function<bool()> work)
{
    {
        std::lock_guard lock(m_mutex);
        m_work.push_back(std::move(work));
        // No answer depends on this work, so the oldest may go.
        while (m_work.size() > maxWork)
            m_work.pop_front();
    }
    m_changed.notify_all();
}

void ActionLedger::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return !m_work.empty() || m_isStopping; });
        if (m_isStopping)
            return;
        auto work = std::move(m_work.front());
        m_work.pop_front();
        lock.unlock();
        bool isDone = work();
        lock.lock();
        if (isDone)
            continue;
        m_work.push_back(std::move(work));
        m_changed.wait_for(lock, workPause, [this] { return m_isStopping; });
    }
}

} // namespace jacinthspindle::daemon
