// A small fake of the engines: batch slots, service time by length and accelerator, a queue by priority, faults.

#pragma once

#include "policy/Fleet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace jacinthspindle::bench {

constexpr uint32_t progressTokens = 16; // Tokens between two reports of progress.

// What an attempt tells the daemon that started it.
enum class AttemptStep : uint8_t { First, Progress, Done, Failed };

struct Attempt {
    uint32_t job = 0;
    uint32_t number = 0;
    uint8_t priority = 0;
    std::vector<uint32_t> workers; // In the order of the chain.
    std::vector<uint32_t> layers; // Layers that each worker runs.
    uint32_t prompt = 0;
    uint32_t position = 0; // Tokens that are done.
    uint32_t tokens = 0; // Tokens of the whole answer.
    uint32_t held = 0; // Slots that it holds, at the first workers of the chain.
    uint32_t startPosition = 0;
    bool isOver = false;
    bool breaks = false; // Fails after the first progress.
};

// Follow-up of an attempt that the run loop has to schedule.
struct Timer {
    std::shared_ptr<Attempt> attempt;
    double delay = 0;
};

class Engines {
public:
    explicit Engines(const Table&);

    uint32_t indexOf(const EndpointId& id) const { return m_index.at(id); }
    size_t size() const { return m_workers.size(); }
    const EndpointId& idOf(uint32_t worker) const { return m_workers[worker].row.endpoint; }
    uint32_t running(uint32_t worker) const { return m_workers[worker].running; }
    uint32_t waiting(uint32_t worker) const { return static_cast<uint32_t>(m_workers[worker].queue.size()); }
    bool isDead(uint32_t worker) const { return m_workers[worker].isDead; }

    // Queues the attempt at the first worker of its chain. Attempts that obtain all their slots are appended to
    // started with the time to their first token.
    void submit(std::shared_ptr<Attempt>, std::vector<Timer>& started);
    // Frees the slots of an attempt that ended, and lets the next ones in.
    void release(const std::shared_ptr<Attempt>&, std::vector<Timer>& started);
    void setPriority(const std::shared_ptr<Attempt>&, uint8_t priority);
    void kill(uint32_t worker) { m_workers[worker].isDead = true; }

    // Seconds for the next tokens at the present size of the batches.
    double decodeTime(const Attempt&, uint32_t tokens) const;

private:
    struct Waiting {
        uint8_t priority = 0;
        uint64_t sequence = 0;
        std::shared_ptr<Attempt> attempt;
        bool operator<(const Waiting& other) const
        {
            return priority != other.priority ? priority < other.priority : sequence < other.sequence;
        }
    };
    struct Worker {
        EndpointRow row;
        Speed speed;
        uint32_t running = 0;
        bool isDead = false;
        std::set<Waiting> queue;
    };

    double prefillTime(const Attempt&) const;
    double batchFactor(const Worker& it) const { return 1 + batchSlowdown * it.running / it.row.slots; }
    double linkTime(const Attempt&, double tokens) const;
    void advance(const std::shared_ptr<Attempt>&, std::vector<Timer>& started);

    std::vector<Worker> m_workers;
    std::map<EndpointId, uint32_t> m_index;
    uint64_t m_sequence = 0;
};

} // namespace jacinthspindle::bench
