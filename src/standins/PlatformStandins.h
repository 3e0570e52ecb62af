// Stand-ins of the platform's table service, object store and host list.

#pragma once

#include "spindlecore/Ports.h"
#include "standins/Faults.h"
#include "standins/StandinServer.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jacinthspindle::standins {

// Rows with versions; the version of a row rises by one with each write.
class TableStandin final : public Standin {
public:
    explicit TableStandin(std::string address);

    const std::string& name() const override { return m_name; }
    bool start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }
    bool setFaults(const Json&) override;
    Json counters() const override;

private:
    enum class CommitFault : uint8_t { None, LoseAnswer, Drop, Late };

    void install(httplib::Server&);
    void handleRow(const httplib::Request&, httplib::Response&);
    void handleScan(const httplib::Request&, httplib::Response&);
    void handleCommit(const httplib::Request&, httplib::Response&);
    bool commit(const Transaction&);
    void commitLate(const Transaction&, milliseconds delay);
    CommitFault takeFault(const Transaction&, milliseconds& delay);
    void delay();

    std::string m_name = "table";
    mutable std::mutex m_mutex;
    std::map<std::string, StoredRow> m_rows;
    TableFaults m_faults;
    uint64_t m_reads = 0;
    uint64_t m_commits = 0;
    uint64_t m_conflicts = 0;
    std::vector<std::thread> m_lateCommits;
    StandinServer m_server; // The last member: its threads use the others.

public:
    ~TableStandin() override;
};

class ObjectStandin final : public Standin {
public:
    explicit ObjectStandin(std::string address);

    const std::string& name() const override { return m_name; }
    bool start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }
    bool setFaults(const Json&) override;
    Json counters() const override;

private:
    void install(httplib::Server&);
    void delay();

    std::string m_name = "objects";
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
    ObjectFaults m_faults;
    uint64_t m_puts = 0;
    StandinServer m_server;
};

class HostListStandin final : public Standin {
public:
    HostListStandin(std::string address, std::vector<HostEntry> hosts);

    const std::string& name() const override { return m_name; }
    bool start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }
    bool setFaults(const Json&) override;
    Json counters() const override;

private:
    void install(httplib::Server&);
    std::vector<HostEntry> current() const;

    std::string m_name = "hosts";
    mutable std::mutex m_mutex;
    std::vector<HostEntry> m_hosts;
    std::vector<HostEntry> m_frozen;
    HostFaults m_faults;
    StandinServer m_server;
};

} // namespace jacinthspindle::standins
