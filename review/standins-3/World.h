// Stand-ins of the platform's store, of workers and of clients in one process, and the daemons as processes of their
// own. Each follows PROTOCOL.md and DEPLOY.md; a scenario decides what happens to them and when.

#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <mutex>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Lines of record.txt, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_begin).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(ms) / 1000);
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_begin = Clock::now();
};

std::string encodeBase64(const std::string&);
std::string decodeBase64(const std::string&);

// Accepts connections at an address and serves each in a thread of its own.
class Server {
public:
    virtual ~Server() = default;
    bool open(const std::string& address);

protected:
    virtual void serve(int fd) = 0;
    // Called before a connection is accepted; may wait. True: it waited for a path, and what has connected meanwhile is
    // dropped, since no connection can be made over a cut link.
    virtual bool beforeAccept() { return false; }
};

class Store final : public Server {
public:
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Returns how often the rows of the table were read; waits for the next read until the moment.
    uint64_t awaitRead(const std::string& table, Clock::time_point until);

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>; // Table and key.

    void serve(int fd) override;
    std::string read(const std::map<std::string, std::string>& query);
    std::string rows(std::map<std::string, std::string> query, uint64_t since);
    std::string feed(const std::map<std::string, std::string>& query);
    std::pair<std::string, std::string> commit(const std::string& body);

    std::mutex m_mutex;
    std::condition_variable m_change;
    std::map<Key, Row> m_rows;
    std::map<std::string, uint64_t> m_reads; // By table.
    std::condition_variable m_read;
    uint64_t m_version = 1;
    Clock::time_point m_begin = Clock::now();
};

class World;

struct WorkerOptions {
    std::string id;
    std::string service;
    std::string kind; // Of accelerator; empty: a plain service.
    uint32_t slots = 64;
    milliseconds work { 30 }; // Of a plain request, or before the first event of a stream.
    int events = 20; // Of a stream.
    milliseconds eventGap { 20 };
};

class Worker final : public Server {
public:
    Worker(World&, WorkerOptions);
    const WorkerOptions& options() const { return m_options; }
    const std::string& address() const { return m_address; }
    bool start(const std::string& address);
    // While it is cut off, it gets and sends nothing: requests, answers and heartbeats.
    void setCut(bool isCut);
    // Reports that it leaves; it goes on serving. Returns when the store has accepted the report.
    Clock::time_point leave();
    // Its row goes, and it writes no other one.
    void withdraw();
    bool isCut() const { return m_isCut; }
    bool holds(int from, int to);
    std::string layersText();
    // Answers a plain request in place of the worker itself: takes the request and the connection, returns whether the
    // connection is kept.
    std::function<bool(Worker&, const Message&, int fd)> act;

private:
    void serve(int fd) override;
    bool beforeAccept() override { return awaitPath(); }
    // Returns whether it had to wait.
    bool awaitPath();
    void beat();
    void writeRow();
    std::string report();
    std::string order(const Message&);
    bool run(const Message&, int fd);
    bool stream(const Message&, int fd, const std::vector<Worker*>& path);

    World& m_world;
    const WorkerOptions m_options;
    std::string m_address;
    const int64_t m_born;
    std::atomic<bool> m_isCut { false };
    std::mutex m_mutex;
    std::condition_variable m_change;
    int m_from = 0;
    int m_to = 0;
    bool m_isBusy = false;
    uint64_t m_orders = 0;
    uint64_t m_beats = 0;
    Clock::time_point m_beatAt = Clock::now();
    bool m_isListed = false;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<bool> m_isWithdrawn { false };
    std::map<std::string, std::string> m_stalled; // Requests, and the address that does not answer.
    std::atomic<int> m_running { 0 };
    friend class World;
};

class Daemon {
public:
    std::string name;
    std::string ip;
    std::string settings;
    std::string log;
    pid_t pid = -1;
    std::string front() const { return ip + ":8227"; }
    std::string readyAddress() const { return ip + ":8220"; }
    void start(const std::string& program);
    void signal(int number) const;
    // Waits for the end; true when the process has ended by then.
    bool wait(milliseconds timeout);
    bool isRunning();
    bool isReady() const;
};

// What a client saw of one request.
struct Outcome {
    std::string id;
    int status = 0; // 0: no answer.
    bool isWhole = false;
    Message answer;
    Reader::End end = Reader::End::Open;
    Clock::time_point sentAt;
    Clock::time_point endedAt;
};

class World {
public:
    World(std::string program, std::string folder);
    ~World();
    // Ends all daemons and removes the temporary folder.
    void stop();
    std::string ip(int group, int number) const;
    Store store;
    Record record;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Daemon>> daemons;
    Json settings; // Of a daemon, with the fields that all share.
    double stallS = 3;
    double loadS = 1; // Of the whole model.
    int layers = 0;

    Worker* addWorker(const WorkerOptions&);
    Daemon* addDaemon();
    void startDaemon(Daemon&);
    Worker* workerAt(const std::string& address);
    bool waitReady(milliseconds timeout);
    // Sends one request over a new connection and reads its answer.
    Outcome call(const Daemon&, const std::string& id, const std::string& method, const std::string& path,
        const std::string& fields, const std::string& body, milliseconds deadline);
    // Notes that a worker began to run a request.
    void noteRun(const std::string& id, const Worker&, const Message&);
    std::vector<std::string> runsOf(const std::string& id);
    bool isOver() const { return m_isOver; }

private:
    std::string m_program;
    std::string m_folder; // Temporary.
    int m_block = 0;
    int m_blockSocket = -1;
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
    std::atomic<bool> m_isOver { false };
};

// The configuration of the operator.
Json routeOf(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service);
Json configurationOf(uint64_t version, Json routes, Json services, Json tenants);

// Plays the scenario and ends all processes. Returns the exit status: 2 when the case could not run.
int runScenario(const std::string& program, const std::string& folder, int (*play)(World&));

inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace review
