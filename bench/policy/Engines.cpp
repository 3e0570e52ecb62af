// Slots, queues and service times of the fake engines.

#include "policy/Engines.h"

#include <algorithm>

namespace jacinthspindle::bench {

Engines::Engines(const Table& table)
{
    for (const auto& it : table.endpoints) {
        m_index[it.endpoint] = static_cast<uint32_t>(m_workers.size());
        m_workers.push_back({ it, speedOf(it.accelerator), 0, false, {} });
    }
}

void Engines::submit(std::shared_ptr<Attempt> attempt, std::vector<Timer>& started)
{
    m_workers[attempt->workers.front()].queue.insert({ attempt->priority, m_sequence++, attempt });
    advance(attempt, started);
}

// Lets waiting attempts in, along the chain of each one that obtains a slot.
void Engines::advance(const std::shared_ptr<Attempt>& attempt, std::vector<Timer>& started)
{
    std::vector<uint32_t> open(attempt->workers.begin(), attempt->workers.end());
    while (!open.empty()) {
        auto& worker = m_workers[open.back()];
        if (worker.queue.empty() || worker.running >= worker.row.slots) {
            open.pop_back();
            continue;
        }
        auto next = worker.queue.begin()->attempt;
        worker.queue.erase(worker.queue.begin());
        if (next->isOver)
            continue;
        ++worker.running;
        if (++next->held == next->workers.size()) {
            started.push_back({ next, prefillTime(*next) + decodeTime(*next, 1) });
            continue;
        }
        uint32_t following = next->workers[next->held];
        m_workers[following].queue.insert({ next->priority, m_sequence++, next });
        open.push_back(following);
    }
}

void Engines::release(const std::shared_ptr<Attempt>& attempt, std::vector<Timer>& started)
{
    attempt->isOver = true;
    for (uint32_t i = 0; i < attempt->held; ++i)
        --m_workers[attempt->workers[i]].running;
    attempt->held = 0;
    for (uint32_t worker : attempt->workers)
        std::erase_if(m_workers[worker].queue, [&](const Waiting& it) { return it.attempt == attempt; });
    advance(attempt, started);
}

void Engines::setPriority(const std::shared_ptr<Attempt>& attempt, uint8_t priority)
{
    attempt->priority = priority;
    if (attempt->isOver || attempt->held == attempt->workers.size())
        return;
    auto& queue = m_workers[attempt->workers[attempt->held]].queue;
    auto it = std::find_if(queue.begin(), queue.end(), [&](const Waiting& entry) { return entry.attempt == attempt; });
    if (it == queue.end())
        return;
    Waiting moved { priority, it->sequence, attempt };
    queue.erase(it);
    queue.insert(std::move(moved));
}

double Engines::linkTime(const Attempt& attempt, double tokens) const
{
    double seconds = 0;
    for (size_t i = 0; i + 1 < attempt.workers.size(); ++i) {
        const auto& from = m_workers[attempt.workers[i]].row;
        const auto& to = m_workers[attempt.workers[i + 1]].row;
        double bitsPerSecond = 1e6 * std::min(from.linkMbps, to.linkMbps);
        seconds += tokens * activationBytes * 8 / bitsPerSecond;
    }
    return seconds;
}

double Engines::prefillTime(const Attempt& attempt) const
{
    // A replacement computes the prompt and the tokens before its first position again.
    double tokens = attempt.prompt + attempt.startPosition;
    double seconds = linkTime(attempt, tokens);
    for (size_t i = 0; i < attempt.workers.size(); ++i) {
        const auto& it = m_workers[attempt.workers[i]];
        seconds += tokens * attempt.layers[i] * it.speed.prefillPerLayer * batchFactor(it);
    }
    return seconds;
}

double Engines::decodeTime(const Attempt& attempt, uint32_t tokens) const
{
    double seconds = linkTime(attempt, tokens);
    for (size_t i = 0; i < attempt.workers.size(); ++i) {
        const auto& it = m_workers[attempt.workers[i]];
        seconds += tokens * attempt.layers[i] * it.speed.decodePerLayer * batchFactor(it);
        if (i && it.row.dataCentre != m_workers[attempt.workers[i - 1]].row.dataCentre)
            seconds += tokens * crossDataCentreDelay;
    }
    return seconds;
}

} // namespace jacinthspindle::bench
