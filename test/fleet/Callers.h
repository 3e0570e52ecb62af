// Callers of a fleet of daemons: each sends one request after the other over a connection that it keeps for as long as
// the daemon does, and records how each of them ended.

#pragma once

#include "fleet/Wire.h"
#include "router/Net.h"

#include <mutex>
#include <thread>
#include <vector>

namespace jacinthspindle::fleet {

using Steady = std::chrono::steady_clock;

// How long callers wait for an answer, as they say in each request.
constexpr std::chrono::milliseconds callerDeadline { 12000 };

// What a caller saw of one request.
struct Outcome {
    std::string id;
    size_t daemon = 0;
    bool isAction = false;
    Steady::time_point connectedAt {}; // The connection was opened, for this request or an earlier one.
    Steady::time_point sentAt {}; // The last byte of the request was written.
    Steady::time_point endedAt {};
    unsigned status = 0; // 0: the connection ended without an answer.
    bool isWhole = false; // The answer came to its marked end.
    size_t events = 0; // Of a stream, whole ones.
    bool isOwn = true; // All that arrived belongs to this request, once and in order.
};

struct CallerOptions {
    std::vector<std::string> daemons; // Addresses.
    size_t callersPerDaemon = 3;
    uint32_t seed = 1;
};

class Callers {
public:
    explicit Callers(CallerOptions);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    // Begins no further request, and returns the outcomes once all have ended.
    std::vector<Outcome> finish();
    // Requests that have ended so far.
    size_t ended() const;

private:
    router::net::awaitable<void> call(size_t daemon, size_t number);
    router::net::awaitable<bool> exchange(router::beast::tcp_stream&, Outcome&);
    void record(Outcome);

    const CallerOptions m_options;
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::vector<Outcome> m_outcomes; // Guarded by m_mutex.
    router::net::io_context m_io { 1 };
    std::thread m_thread;
};

} // namespace jacinthspindle::fleet
