// Stand-ins of the platform's store, of workers and of clients, and the start of daemons, for the scripts of the
// review. Everything runs in one process but the daemons, which are separate processes on loopback addresses.

#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

// Lines of record.txt, each with the milliseconds since the start of the script.
class Record {
public:
    Record()
        : m_file("record.txt")
    {
    }

    void write(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_began).count();
        m_file << ms << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_began = Clock::now();
};

inline Record& record()
{
    static Record it;
    return it;
}

// What ends the daemons and removes their folders; the script leaves by leave() only.
inline std::vector<std::function<void()>>& cleanups()
{
    static std::vector<std::function<void()>> it;
    return it;
}

[[noreturn]] inline void leave(int status)
{
    for (const auto& it : cleanups())
        it();
    std::_Exit(status);
}

// The script cannot run here.
[[noreturn]] inline void cannotRun(const std::string& why)
{
    record().write("cannot run: " + why);
    std::cerr << "cannot run: " << why << '\n';
    leave(2);
}

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// A network of loopback addresses of this run alone.
inline std::string ipOf(int number)
{
    static const std::string prefix = [] {
        std::random_device random;
        return "127." + std::to_string(20 + random() % 200) + '.' + std::to_string(1 + random() % 250) + '.';
    }();
    return prefix + std::to_string(number);
}

inline sockaddr_in addressOf(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A connection with what has been read ahead of its parsing.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection&) = delete;
    ~Connection() { ::close(m_fd); }

    static std::unique_ptr<Connection> open(const std::string& ip, uint16_t port)
    {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = addressOf(ip, port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address)) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    int fd() const { return m_fd; }

    bool send(const std::string& bytes)
    {
        for (size_t at = 0; at < bytes.size();) {
            auto n = ::send(m_fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            at += static_cast<size_t>(n);
        }
        return true;
    }

    // Reads more bytes; false at the end of the connection or of the time.
    bool fill(Clock::time_point until)
    {
        auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd it { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
            return false;
        char chunk[65536];
        auto n = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            m_hasEnded = true;
            m_wasReset = n < 0;
            return false;
        }
        m_buffer.append(chunk, static_cast<size_t>(n));
        return true;
    }

    std::optional<std::string> line(Clock::time_point until)
    {
        size_t at = 0;
        while ((at = m_buffer.find('\n')) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        auto text = m_buffer.substr(0, at);
        m_buffer.erase(0, at + 1);
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        return text;
    }

    std::optional<std::string> bytes(size_t n, Clock::time_point until)
    {
        while (m_buffer.size() < n) {
            if (!fill(until))
                return std::nullopt;
        }
        auto text = m_buffer.substr(0, n);
        m_buffer.erase(0, n);
        return text;
    }

    const std::string& buffered() const { return m_buffer; }
    bool hasEnded() const { return m_hasEnded; }
    // A close with unread bytes resets the connection.
    bool wasReset() const { return m_wasReset; }

private:
    int m_fd;
    std::string m_buffer;
    bool m_hasEnded = false;
    bool m_wasReset = false;
};

// A request or an answer.
struct Message {
    std::string first; // Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& it : headers) {
            if (it.first == name)
                return it.second;
        }
        return {};
    }
    bool has(const std::string& name) const
    {
        for (const auto& it : headers) {
            if (it.first == name)
                return true;
        }
        return false;
    }
    std::string word(size_t n) const
    {
        std::istringstream in(first);
        std::string text;
        for (size_t i = 0; i <= n; ++i)
            in >> text;
        return text;
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return first.starts_with("HTTP/1.1 ") ? std::atoi(first.c_str() + 9) : 0; }
};

// Reads a message. hasBody: false for the answer to HEAD, which ends with its header.
inline std::optional<Message> readMessage(Connection& connection, Clock::time_point until, bool hasBody = true)
{
    Message message;
    auto first = connection.line(until);
    if (!first)
        return std::nullopt;
    message.first = *first;
    while (true) {
        auto line = connection.line(until);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        auto colon = line->find(':');
        if (colon == std::string::npos)
            return message; // No header: the caller looks at the first line.
        auto name = line->substr(0, colon);
        for (auto& it : name)
            it = static_cast<char>(std::tolower(it));
        auto value = line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(name, value);
    }
    if (!hasBody)
        return message;
    if (message.header("transfer-encoding") == "chunked") {
        while (true) {
            auto size = connection.line(until);
            if (!size)
                return std::nullopt;
            auto n = std::stoul("0" + *size, nullptr, 16);
            auto chunk = connection.bytes(n + 2, until);
            if (!chunk)
                return std::nullopt;
            if (!n)
                return message;
            message.body += chunk->substr(0, n);
        }
    }
    if (message.has("content-length")) {
        auto body = connection.bytes(std::stoul("0" + message.header("content-length")), until);
        if (!body)
            return std::nullopt;
        message.body = *body;
    }
    return message;
}

// Serves one address, with a thread for each connection.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Message&)>; // False closes the connection.

    Server(std::string ip, uint16_t port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {
    }
    ~Server() { stop(); }

    void start()
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = addressOf(m_ip, m_port);
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) || ::listen(m_fd, 1024))
            cannotRun("address " + m_ip + " cannot be bound");
        m_isOpen = true;
        m_thread = std::thread([this] { accept(); });
    }

    // As the end of the server's process: the address and all connections are closed.
    void stop()
    {
        if (!m_isOpen.exchange(false))
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        {
            std::lock_guard lock(m_mutex);
            for (int fd : m_connections)
                ::shutdown(fd, SHUT_RDWR);
        }
        while (m_running)
            sleepFor(milliseconds(1));
    }

    bool isOpen() const { return m_isOpen; }
    const std::string& ip() const { return m_ip; }
    std::string address() const { return m_ip + ':' + std::to_string(m_port); }

private:
    void accept()
    {
        while (m_isOpen) {
            int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            {
                std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            ++m_running;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        {
            Connection connection(fd);
            while (m_isOpen) {
                auto message = readMessage(connection, Clock::now() + std::chrono::seconds(60));
                if (!message || !m_isOpen || !m_handler(connection, *message))
                    break;
            }
            std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }
        --m_running;
    }

    const std::string m_ip;
    const uint16_t m_port;
    Handler m_handler;
    int m_fd = -1;
    std::atomic<bool> m_isOpen = false;
    std::atomic<int> m_running = 0;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

inline std::string encodeBase64(const std::string& text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t bits = 0;
        for (size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            out += i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63] : '=';
    }
    return out;
}

inline std::string decodeBase64(const std::string& text)
{
    std::string out;
    uint32_t bits = 0;
    int n = 0;
    for (char it : text) {
        int digit = std::isupper(it) ? it - 'A'
            : std::islower(it)       ? it - 'a' + 26
            : std::isdigit(it)       ? it - '0' + 52
            : it == '+'              ? 62
            : it == '/'              ? 63
                                     : -1;
        if (digit < 0)
            break;
        bits = bits << 6 | static_cast<uint32_t>(digit);
        n += 6;
        if (n >= 8)
            out += static_cast<char>(bits >> (n -= 8) & 255);
    }
    return out;
}

inline bool answerJson(Connection& connection, int status, const Json& json, const std::string& header = {})
{
    auto body = json.dump();
    return connection.send("HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n"
        + header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// The platform's store: rows in tables, a feed of their changes, and conditional transactions.
class Store {
public:
    explicit Store(const std::string& ip)
        : m_server(ip, 8223, [this](Connection& c, const Message& m) { return handle(c, m); })
    {
        m_server.start();
    }

    std::string address() const { return m_server.address(); }

    void put(const std::string& table, const std::string& key, const Json& value)
    {
        std::lock_guard lock(m_mutex);
        if (!m_isAway)
            set(table, key, value.dump(), ++m_version);
    }

    // All rows, with the version that the store had then.
    struct Copy {
        std::map<std::tuple<std::string, std::string, std::string>, std::pair<std::string, uint64_t>> rows;
        uint64_t version = 0;
    };

    Copy copy()
    {
        std::lock_guard lock(m_mutex);
        Copy copy { {}, m_version };
        for (const auto& [key, row] : m_rows)
            copy.rows[key] = { row.value, row.version };
        return copy;
    }

    // The store ends. Nothing can be written until it returns.
    void leave()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isAway = true;
            m_changed.notify_all();
        }
        m_server.stop();
    }

    // The store comes back from the copy, in the next era.
    void comeBack(const Copy& copy)
    {
        {
            std::lock_guard lock(m_mutex);
            m_rows.clear();
            for (const auto& [key, row] : copy.rows)
                m_rows[key] = { row.first, row.second };
            m_version = copy.version;
            std::erase_if(m_changes, [&](const Change& it) { return it.version > m_version; });
            ++m_era;
        }
        m_isAway = false;
        m_server.start();
    }

    // The store comes back as it was.
    void comeBack()
    {
        m_isAway = false;
        m_server.start();
    }

    void remove(const std::string& table, const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        if (m_rows.erase({ table, "", key }))
            m_changes.push_back({ ++m_version, table, key, true });
        m_changed.notify_all();
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>; // Table, part and key.
    struct Row {
        std::string value;
        uint64_t version = 0;
    };
    struct Change {
        uint64_t version = 0;
        std::string table;
        std::string key;
        bool isRemoved = false;
    };

    void set(const std::string& table, const std::string& key, const std::string& value, uint64_t version)
    {
        m_rows[{ table, "", key }] = { value, version };
        m_changes.push_back({ version, table, key, false });
        m_changed.notify_all();
    }

    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::istringstream in(target.substr(std::min(target.size(), target.find('?') + 1)));
        for (std::string part; std::getline(in, part, '&');) {
            auto equals = part.find('=');
            std::string value;
            for (size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else
                    value += part[i];
            }
            query[part.substr(0, equals)] = value;
        }
        return query;
    }

    bool reply(Connection& connection, int status, const Json& json) const
    {
        return !m_isAway && answerJson(connection, status, json, "Store-Era: " + std::to_string(m_era) + "\r\n");
    }

    Json rowJson(const std::string& table, const std::string& key, const Row& row) const
    {
        return { { "table", table }, { "part", "" }, { "key", key }, { "value", encodeBase64(row.value) },
            { "rowVersion", row.version } };
    }

    Json rowsJson(Json rows, bool hasMore) const
    {
        auto now = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
        return { { "rows", std::move(rows) }, { "hasMore", hasMore }, { "rowVersion", m_version }, { "nowMs", now } };
    }

    bool handle(Connection& connection, const Message& message)
    {
        sleepFor(milliseconds(4));
        auto target = message.target();
        auto query = queryOf(target);
        if (target.starts_with("/jacinthspindle/rows-tx"))
            return commit(connection, message.body);
        if (target.starts_with("/jacinthspindle/rows-get"))
            return get(connection, query);
        if (target.starts_with("/jacinthspindle/rows-feed"))
            return feed(connection, query);
        return reply(connection, 404, Json::object());
    }

    bool get(Connection& connection, std::map<std::string, std::string>& query)
    {
        constexpr size_t most = 500;
        std::unique_lock lock(m_mutex);
        auto rows = Json::array();
        bool hasMore = false;
        for (auto it = m_rows.lower_bound({ query["table"], query["part"], query["from"] }); it != m_rows.end(); ++it) {
            const auto& [table, part, key] = it->first;
            if (table != query["table"] || part != query["part"] || (query.contains("to") && key >= query["to"]))
                break;
            if ((hasMore = rows.size() >= most))
                break;
            rows.push_back(rowJson(table, key, it->second));
        }
        auto answer = rowsJson(std::move(rows), hasMore);
        lock.unlock();
        return reply(connection, 200, answer);
    }

    bool feed(Connection& connection, std::map<std::string, std::string>& query)
    {
        uint64_t since = std::stoull("0" + query["sinceRev"]);
        auto until = Clock::now() + milliseconds(std::stoul("0" + query["waitMs"]));
        std::unique_lock lock(m_mutex);
        auto isNews = [&](const Change& it) { return it.table == query["table"] && it.version > since; };
        if (since > m_version) {
            lock.unlock();
            return reply(connection, 410, Json::object());
        }
        while (!m_isAway && std::none_of(m_changes.begin(), m_changes.end(), isNews)) {
            if (m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        auto rows = Json::array();
        for (const auto& it : m_changes) {
            if (!isNews(it))
                continue;
            auto row = m_rows.find({ it.table, "", it.key });
            if (it.isRemoved)
                rows.push_back({ { "table", it.table }, { "part", "" }, { "key", it.key }, { "rowVersion", it.version },
                    { "deleted", true } });
            else if (row != m_rows.end() && row->second.version == it.version)
                rows.push_back(rowJson(it.table, it.key, row->second));
        }
        auto answer = rowsJson(std::move(rows), false);
        lock.unlock();
        return reply(connection, 200, answer);
    }

    bool commit(Connection& connection, const std::string& body)
    {
        auto call = Json::parse(body);
        std::unique_lock lock(m_mutex);
        for (const auto& it : call["expected"]) {
            auto found = m_rows.find({ it["table"], it["part"], it["key"] });
            if ((found == m_rows.end() ? 0 : found->second.version) != it["rowVersion"].get<uint64_t>()) {
                lock.unlock();
                return reply(connection, 412, { { "rows", Json::array() } });
            }
        }
        ++m_version;
        for (const auto& it : call["puts"])
            set(it["table"], it["key"], decodeBase64(it["value"]), m_version);
        Json answer { { "rowVersion", m_version }, { "nowMs", 0 } };
        lock.unlock();
        return reply(connection, 200, answer);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::vector<Change> m_changes;
    uint64_t m_version = 0;
    std::atomic<uint64_t> m_era = 1;
    std::atomic<bool> m_isAway = false;
    Server m_server; // The last member: its threads use the others.
};

inline uint64_t unixMilliseconds()
{
    return static_cast<uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

// A worker: serves its address and writes its entry to the store at each heartbeat.
class Worker {
public:
    static constexpr milliseconds heartbeat { 1200 };

    Worker(Store& store, std::string id, Json entry, const std::string& ip, Server::Handler handler)
        : m_store(store)
        , m_id(std::move(id))
        , m_entry(std::move(entry))
        , m_server(ip, 8080, std::move(handler))
    {
        m_entry["address"] = m_server.address();
        m_entry["state"] = "ready";
        m_entry["version"] = "v1";
        m_entry["coldRemainingMs"] = 0;
        m_entry["born"] = m_born;
    }
    virtual ~Worker() { crash(); }

    // firstHeartbeat: when the entry is written for the first time after the start.
    void start(milliseconds firstHeartbeat = milliseconds(0))
    {
        m_server.start();
        m_isRunning = true;
        m_thread = std::thread([this, firstHeartbeat] { beat(firstHeartbeat); });
    }

    // The end of the process. The platform removes the entry after three heartbeat intervals of silence.
    void crash()
    {
        if (!m_isRunning.exchange(false))
            return;
        m_server.stop();
        m_thread.join();
        std::thread([this, at = m_lastBeat] {
            std::this_thread::sleep_until(at + 3 * heartbeat);
            if (m_isListed)
                m_store.remove("servers", m_id);
        }).detach();
    }

    // The worker leaves: its entry is removed and not written any more, and it goes on serving.
    void withdraw()
    {
        m_isWriting = false;
        m_store.remove("servers", m_id);
        m_isListed = false;
    }

    const std::string& id() const { return m_id; }
    uint64_t born() const { return m_born; }
    std::string address() const { return m_server.address(); }

protected:
    std::mutex m_mutex;
    Json entry() const { return m_entry; }
    void setEntry(const std::string& name, const Json& value)
    {
        std::lock_guard lock(m_entryMutex);
        m_entry[name] = value;
    }

private:
    void beat(milliseconds first)
    {
        auto at = Clock::now() + first;
        for (uint64_t sequence = 1; m_isRunning; ++sequence) {
            while (m_isRunning && Clock::now() < at)
                sleepFor(milliseconds(5));
            if (!m_isRunning || !m_isWriting)
                return;
            Json value;
            {
                std::lock_guard lock(m_entryMutex);
                m_entry["sequence"] = sequence;
                value = m_entry;
            }
            m_store.put("servers", m_id, value);
            m_isListed = true;
            m_lastBeat = Clock::now();
            at += heartbeat;
        }
    }

    Store& m_store;
    const std::string m_id;
    const uint64_t m_born = unixMilliseconds();
    std::mutex m_entryMutex;
    Json m_entry;
    Server m_server;
    std::atomic<bool> m_isRunning = false;
    std::atomic<bool> m_isListed = false;
    std::atomic<bool> m_isWriting = true;
    Clock::time_point m_lastBeat = Clock::now();
    std::thread m_thread;
};

// A worker of a plain service: serves `slots` requests at a time and lets as many others wait as come.
class PlainWorker : public Worker {
public:
    struct Run {
        std::string request; // X-Attempt-Id.
        Clock::time_point arrivedAt;
        Message message;
    };

    PlainWorker(Store& store, const std::string& id, const std::string& service, const std::string& ip,
        milliseconds work, int slots = 6)
        : Worker(store, id, { { "service", service }, { "zone", "z1" }, { "slots", slots } }, ip,
            [this](Connection& c, const Message& m) { return handle(c, m); })
        , m_work(work)
    {
    }
    ~PlainWorker() override { crash(); }

    // All answers say from now on that the worker leaves.
    void setLeaving() { m_isLeaving = true; }
    std::vector<Run> runs()
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    // Headers of all answers.
    std::string common(const Message& message) const
    {
        return "X-Attempt-Id: " + message.header("x-attempt-id") + "\r\nX-Instance-Id: " + id() + "\r\n"
            + (m_isLeaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "");
    }

    bool handle(Connection& connection, const Message& message)
    {
        auto arrivedAt = Clock::now();
        const std::string empty = "Content-Length: 0\r\n\r\n";
        auto expected = message.header("x-expect-instance");
        if (!expected.empty() && expected != id())
            return connection.send("HTTP/1.1 421 Misdirected Request\r\n" + common(message) + empty);
        if (message.target() == "/healthz")
            return connection.send(
                (m_isLeaving ? "HTTP/1.1 503 Leaving\r\n" : "HTTP/1.1 200 OK\r\n") + common(message) + empty);
        if (message.header("x-attempt-id").empty())
            return connection.send("HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n" + empty);
        {
            std::lock_guard lock(m_mutex);
            auto kept = message;
            kept.body = std::to_string(message.body.size()) + " bytes";
            m_runs.push_back({ message.header("x-attempt-id"), arrivedAt, std::move(kept) });
        }
        sleepFor(m_work);
        bool hasBody = !message.target().starts_with("/empty/");
        std::string body = hasBody ? "answer to " + message.header("x-attempt-id") + '\n' : "";
        auto header = "HTTP/1.1 200 OK\r\n" + common(message) + "X-Response-Signature: " + id() + '.'
            + message.header("x-attempt-id") + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return connection.send(message.method() == "HEAD" ? header : header + body) && !m_isLeaving;
    }

    const milliseconds m_work;
    std::atomic<bool> m_isLeaving = false;
    std::vector<Run> m_runs;
};

// A daemon of the deploy file, as a process of its own.
class Daemon {
public:
    Daemon(std::string name, std::string ip, const std::string& storeAddress, const std::string& seedIp)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
    {
        m_folder = std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()) + '-' + m_name);
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder / "settings.json") << settings(storeAddress, seedIp).dump(2);
        cleanups().push_back([this] {
            kill(SIGKILL);
            std::filesystem::remove_all(m_folder);
        });
    }
    ~Daemon() = delete; // See cleanups(), which refer to it.

    void start()
    {
        auto file = "JACINTHSPINDLE_NODE_FILE=" + (m_folder / "settings.json").string();
        auto log = (m_folder / "log.txt").string();
        m_pid = ::fork();
        if (m_pid < 0)
            cannotRun("no process can be started");
        if (!m_pid) {
            // Also if the script itself is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            char* arguments[] = { const_cast<char*>("target/jacinthspindle-routerd"),
                const_cast<char*>("--metrics-port"), const_cast<char*>("7355"), nullptr };
            char* environment[] = { file.data(), nullptr };
            if (::chdir("../..") || ::execve(arguments[0], arguments, environment))
                std::_Exit(127);
        }
    }

    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    // The status if the process has ended by itself.
    std::optional<int> ended()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = 0;
        return status;
    }

    // Waits until the daemon says that it is ready.
    void awaitReady(milliseconds longest = milliseconds(20000))
    {
        for (auto until = Clock::now() + longest; Clock::now() < until; sleepFor(milliseconds(50))) {
            if (ended())
                cannotRun("the daemon ended at its start; is target/jacinthspindle-routerd built?");
            auto connection = Connection::open(m_ip, 8220);
            if (!connection || !connection->send("GET /jacinthspindle/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
                continue;
            auto answer = readMessage(*connection, Clock::now() + milliseconds(1000));
            if (answer && answer->status() == 200)
                return;
        }
        cannotRun("the daemon did not become ready");
    }

    pid_t pid() const { return m_pid; }
    const std::string& ip() const { return m_ip; }
    const std::string& name() const { return m_name; }
    std::string log() const { return (m_folder / "log.txt").string(); }
    std::unique_ptr<Connection> connect() const { return Connection::open(m_ip, 8227); }

private:
    Json settings(const std::string& storeAddress, const std::string& seedIp) const
    {
        return { { "nodeName", m_name }, { "role", "router" }, { "machineClass", "front" }, { "serves", { "front" } },
            { "ip", m_ip }, { "zone", "z1" }, { "region", "r1" }, { "zones", { { "z1", "r1" } } },
            { "listen", { { "front", m_ip + ":8227" }, { "ready", m_ip + ":8220" } } },
            { "internalPorts", { 7340, 7355 } }, { "seeds", { seedIp + ":8229" } }, { "bootstrap", true },
            { "lossCounts", false },
            { "limits",
                { { "cpuShare", 0.17 }, { "cores", 1 }, { "memoryMb", 182 }, { "maxFds", 2940 }, { "linkMbps", 700.0 },
                    { "diskMb", 0 } } },
            { "dataDir", nullptr }, { "discovery", "platform" }, { "entry", "vip" }, { "heartbeatMs", 1200 },
            { "contracts",
                { "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform",
                    "layers" } },
            { "faultTolerance", { { "machines", 2 }, { "zones", 1 }, { "regions", 0 } } },
            { "bounds",
                { { "seedLagS", 3 }, { "reuseAfterS", 2 }, { "contactMs", 3000 }, { "ackMs", 4000 }, { "catchUpS", 4 },
                    { "drainMs", 2000 }, { "graceS", 8 }, { "lossSlackMs", 200 }, { "configApplyMs", 2000 },
                    { "rollbackSlackMs", 250 }, { "outerMs", 5000 }, { "strictRevoke", true }, { "revokeMs", 5000 },
                    { "budgetRatio", 0.2 }, { "budgetWindowS", 10 }, { "extraRetries", 425 }, { "recoveryS", 12 },
                    { "passMs", 120 }, { "retryAfterS", 0 }, { "stall_ms", 3000 }, { "fencingEnforced", false } } },
            { "platform",
                { { "address", storeAddress }, { "form", "table" }, { "writesPerS", 400 }, { "readsPerS", 2000 },
                    { "txnMs", 5.0 }, { "partitionWritesS", 200 }, { "rowBytes", 65536 }, { "crossShard", false },
                    { "historyS", 20 }, { "blobBytes", 8388608 }, { "blobMs", 25.0 }, { "blobMbS", 80.0 } } } };
    }

    const std::string m_name;
    const std::string m_ip;
    std::filesystem::path m_folder;
    pid_t m_pid = 0;
};

// The operator's configuration without routes and services.
inline Json emptyConfiguration(uint64_t version)
{
    return { { "version", version }, { "routes", Json::array() }, { "services", Json::array() },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } },
        { "tenants",
            Json::array(
                { { { "name", "hule930" }, { "apiKeys", { "n2ctnfzs989anu6wsjnb" } }, { "priority", 1 } } }) } };
}

inline Json route(const std::string& name, const std::string& prefix, const std::string& kind,
    const std::string& service, int timeoutMs)
{
    return { { "name", name }, { "host", "ficu95.example" }, { "prefix", prefix }, { "routeKind", kind },
        { "timeoutMs", timeoutMs }, { "targetLatencyMs", 150 }, { "priority", 2 }, { "service", service },
        { "maxAttempts", kind == "non_idempotent" ? 1 : 2 }, { "public", false } };
}

inline Json plainService(const std::string& name)
{
    return { { "name", name }, { "healthPath", "/healthz" }, { "maxConnections", 208 }, { "protocol", "h1" },
        { "tls", false } };
}

} // namespace review
