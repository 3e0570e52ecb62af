// Small stand-ins for the cases of the second review, on loopback addresses: the platform's store, workers of a plain
// service, clients, and the daemon as a separate process with the command of the deploy file. One thread a connection.

#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::map<std::string, std::string>; // Names in lower case.

// Milliseconds since the start of the case.
int64_t nowMs();
void pauseMs(int64_t time);

// The record of the case, which is written to record.txt; one line for each event, with its time.
void openRecord(const std::string& path);
void record(const std::string& line);

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(const std::string& name) const;
};

struct Answer {
    unsigned status = 0; // 0: the connection ended without an answer.
    Headers headers;
    std::string body;
    bool isWhole = false;
};

// A connection with buffered reading.
class Wire {
public:
    explicit Wire(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Wire() { close(); }
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;

    static std::unique_ptr<Wire> connect(const std::string& address);
    bool isOpen() const { return m_descriptor >= 0; }
    void close();
    // True when the peer has closed the connection.
    bool isEnded() const;
    bool send(const std::string& bytes);
    // Reads until the deadline; false when the connection ends or the deadline passes first.
    bool readRequest(Request&);
    // The first line of what comes next, which stays unread; empty when the connection ends before it.
    std::string peekLine(int64_t timeoutMs);
    Answer readAnswer(int64_t timeoutMs, bool isHead = false);

private:
    bool fill(int64_t until);
    bool readLine(std::string&, int64_t until);
    bool readBytes(size_t, std::string&, int64_t until);

    int m_descriptor;
    std::string m_buffer;
};

// Serves connections until the process of the case ends, which ends its threads as well.
class Server {
public:
    using Handler = std::function<void(Wire&)>;
    explicit Server(Handler handler, const std::string& ip = "127.0.0.1", uint16_t port = 0);
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    const std::string& address() const { return m_address; }
    // Ends all connections and accepts no more.
    void end();

private:
    void accept();

    Handler m_handler;
    std::mutex m_mutex;
    std::map<int, bool> m_open; // Descriptors of connections.
    int m_descriptor = -1;
    std::string m_address;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

// Rows in memory, with the calls of PROTOCOL.md that the daemon makes.
class Store {
public:
    Store();
    const std::string& address() const { return m_server.address(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // While it is away, each call is answered with 503.
    void setAway(bool isAway);
    // Keeps a copy of all rows, and comes back from it later: versions go back, and the era rises by one.
    void takeCopy();
    void restoreCopy();

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool isDeleted = false;
    };
    using Query = std::map<std::string, std::string>;

    void serve(Wire&);
    std::string answer(const Request&, unsigned& status);
    std::string rowsJson(const std::string& table, const Query&, uint64_t since, bool withDeleted);
    std::string commit(const std::string& body, unsigned& status);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    using Rows = std::map<std::pair<std::string, std::string>, Row>; // By table and key.
    Rows m_rows;
    Rows m_copy;
    uint64_t m_version = 1;
    uint64_t m_copyVersion = 1;
    uint64_t m_era = 1;
    bool m_isAway = false;
    Server m_server; // The last member: its threads use the others.
};

// One run of a request at a worker.
struct Run {
    std::string id;
    Request request;
    int64_t atMs = 0;
};

// A worker: it registers in the store, beats, and answers each request after its work.
class Worker {
public:
    struct Options {
        std::string id;
        std::string service;
        unsigned slots = 6;
        int64_t workMs = 30;
        bool isEngine = false; // Of a model with one layer, which it holds; its answers are streams.
        // Returns the bytes of this answer when they are not the sound ones; given are the answers so far.
        std::function<std::string(const Request&, size_t answers)> spoil = {};
    };
    Worker(Store&, Options);
    std::vector<Run> runs() const;
    size_t answers() const { return m_answers; }
    const std::string& id() const { return m_options.id; }
    const std::string& address() const { return m_server.address(); }
    // Leaves without reporting it: the row is gone, all answers say so, and it serves on.
    void leave();
    // Withdraws the row once more.
    void withdraw();
    // The process of the worker ends: its connections end, and new ones are refused.
    void end();

private:
    void serve(Wire&);
    std::string answerTo(const Request&);
    void beat();
    void writeRow();

    Store& m_store;
    const Options m_options;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<size_t> m_answers { 0 };
    uint64_t m_sequence = 0;
    const int64_t m_born;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<bool> m_hasEnded { false };
    Server m_server;
    std::thread m_thread;
};

// The daemon, as a process of its own.
class Daemon {
public:
    // Lives as long as the process of the case.
    Daemon(const Store&, const std::string& folder, const std::string& name, const std::string& ip);
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;
    void start();
    void signal(int number) const;
    // Ends the process if it runs.
    void end();
    // True while the process runs.
    bool isRunning();
    // What the process ended with, as waitpid() told.
    int status() const { return m_status; }
    // Asks it once.
    bool isReady() const;
    bool awaitReady(int64_t timeoutMs);
    const std::string& front() const { return m_front; }

private:
    const std::string m_folder;
    const std::string m_name;
    std::string m_front;
    std::string m_ready;
    uint16_t m_metricsPort = 0;
    std::string m_settings;
    pid_t m_process = -1;
    int m_status = 0;
};

// Ends the processes of all daemons that still run.
void endDaemons();

// A port that nothing listens on.
uint16_t freePort(const std::string& ip);
std::string encodeBase64(const std::string&);

// A request of a client as its text.
std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const std::string& key, const std::string& body, int64_t deadlineMs, const std::string& extra = {});

// True unless the environment says TROUBLE=0.
bool hasTrouble();
// A folder of the case's own, which is removed at its end.
std::string temporaryFolder();
void removeFolder(const std::string&);

} // namespace review
