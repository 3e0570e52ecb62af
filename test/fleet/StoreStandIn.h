// A stand-in for the platform's store: rows in memory, served on loopback by a thread of its own.

#pragma once

#include "router/BootClock.h"
#include "router/TextServer.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace jacinthspindle::fleet {

class StoreStandIn {
public:
    explicit StoreStandIn(const std::string& address);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn&) = delete;
    StoreStandIn& operator=(const StoreStandIn&) = delete;

    // Empty, or why the address could not be opened.
    const std::string& problem() const { return m_problem; }
    // Writes a row as the operator or an endpoint does. May be called from any thread, like remove() and setAway().
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // While it is away, each call is answered with 503.
    void setAway(bool isAway) { m_isAway = isAway; }

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
    };
    using Key = std::pair<std::string, std::string>; // Table and key.
    using Query = std::map<std::string, std::string>;

    router::net::awaitable<router::TextAnswer> answer(router::TextRequest);
    router::net::awaitable<router::TextAnswer> feed(Query);
    router::TextAnswer list(const Query&);
    router::TextAnswer commit(const std::string& body);
    bool hasChanged(const std::string& table, uint64_t since);
    // Rows of the table that are newer than since, from the key on.
    router::TextAnswer rowsOf(const std::string& table, uint64_t since, const std::string& from);

    std::mutex m_mutex;
    std::map<Key, Row> m_rows; // Guarded by m_mutex, like m_version.
    uint64_t m_version = 1;
    std::atomic<bool> m_isAway { false };
    std::string m_problem;
    router::BootClock m_clock;
    router::Journal m_journal { m_clock, "store", STDERR_FILENO };
    daemon::Metrics m_metrics;
    router::EventLoop m_loop { m_journal, m_metrics };
    router::TextServer m_server;
    std::thread m_thread;
};

} // namespace jacinthspindle::fleet
