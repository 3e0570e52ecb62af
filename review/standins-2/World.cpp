// See World.h.

#include "World.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    const Clock::time_point startedAt = Clock::now();
    std::mutex recordMutex;
    std::ofstream recordFile;
    std::vector<Daemon*> daemons;

    std::string lowerCase(std::string text)
    {
        for (auto& it : text)
            it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
        return text;
    }

    std::string trimmed(const std::string& text)
    {
        auto first = text.find_first_not_of(" \t");
        auto last = text.find_last_not_of(" \t");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    sockaddr_in addressOf(const std::string& ip, uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    std::string decodeBase64(const std::string& text)
    {
        static const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        uint32_t bits = 0;
        int n = 0;
        for (char it : text) {
            auto value = letters.find(it);
            if (value == std::string::npos)
                break;
            bits = bits << 6 | static_cast<uint32_t>(value);
            n += 6;
            if (n >= 8) {
                n -= 8;
                out.push_back(static_cast<char>(bits >> n & 0xff));
            }
        }
        return out;
    }

    std::string unescaped(const std::string& text)
    {
        std::string out;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
                i += 2;
            } else
                out.push_back(text[i]);
        }
        return out;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        auto at = target.find('?');
        std::istringstream in(at == std::string::npos ? std::string() : target.substr(at + 1));
        for (std::string part; std::getline(in, part, '&');) {
            auto equals = part.find('=');
            if (equals != std::string::npos)
                query[part.substr(0, equals)] = unescaped(part.substr(equals + 1));
        }
        return query;
    }

    // The text of a member of a small JSON object, without escapes; empty when it is missing.
    std::string memberOf(const std::string& json, const std::string& name)
    {
        auto at = json.find('"' + name + '"');
        if (at == std::string::npos)
            return {};
        at = json.find(':', at) + 1;
        while (at < json.size() && json[at] == ' ')
            ++at;
        if (json[at] == '"')
            return json.substr(at + 1, json.find('"', at + 1) - at - 1);
        return json.substr(at, json.find_first_of(",}]", at) - at);
    }

    std::string answerText(unsigned status, const std::string& headers, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

} // namespace

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

void pauseMs(int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

void openRecord(const std::string& path)
{
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string& line)
{
    std::lock_guard lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(nowMs()) / 1000);
    recordFile << time << line << std::endl;
}

std::string Request::header(const std::string& name) const
{
    auto it = headers.find(lowerCase(name));
    return it == headers.end() ? std::string() : it->second;
}

std::unique_ptr<Wire> Wire::connect(const std::string& address)
{
    auto colon = address.rfind(':');
    auto to = addressOf(address.substr(0, colon), static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<Wire>(descriptor);
}

void Wire::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

bool Wire::isEnded() const
{
    if (m_descriptor < 0)
        return true;
    char byte = 0;
    auto n = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Wire::send(const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        auto n = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

bool Wire::fill(int64_t until)
{
    if (m_descriptor < 0)
        return false;
    pollfd waiting { m_descriptor, POLLIN, 0 };
    auto left = std::max<int64_t>(0, until - nowMs());
    if (::poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[16384];
    auto n = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (n <= 0)
        return false;
    m_buffer.append(bytes, static_cast<size_t>(n));
    return true;
}

bool Wire::readLine(std::string& line, int64_t until)
{
    size_t end = 0;
    while ((end = m_buffer.find('\n')) == std::string::npos) {
        if (!fill(until))
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return true;
}

std::string Wire::peekLine(int64_t timeoutMs)
{
    const int64_t until = nowMs() + timeoutMs;
    while (m_buffer.find('\n') == std::string::npos) {
        if (!fill(until))
            return {};
    }
    auto line = m_buffer.substr(0, m_buffer.find('\n'));
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return line;
}

bool Wire::readBytes(size_t n, std::string& out, int64_t until)
{
    while (m_buffer.size() < n) {
        if (!fill(until))
            return false;
    }
    out.append(m_buffer, 0, n);
    m_buffer.erase(0, n);
    return true;
}

bool Wire::readRequest(Request& request)
{
    const int64_t until = nowMs() + 600'000;
    std::string line;
    request = {};
    if (!readLine(line, until))
        return false;
    std::istringstream first(line);
    first >> request.method >> request.target;
    while (readLine(line, until) && !line.empty()) {
        auto colon = line.find(':');
        if (colon != std::string::npos)
            request.headers[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    auto length = request.header("content-length");
    return length.empty() || readBytes(std::stoul(length), request.body, until);
}

Answer Wire::readAnswer(int64_t timeoutMs, bool isHead)
{
    Answer answer;
    const int64_t until = nowMs() + timeoutMs;
    std::string line;
    if (!readLine(line, until) || !line.starts_with("HTTP/1.1 "))
        return answer;
    answer.status = static_cast<unsigned>(std::atoi(line.c_str() + 9));
    while (readLine(line, until) && !line.empty()) {
        auto colon = line.find(':');
        if (colon != std::string::npos)
            answer.headers[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    auto length = answer.headers.find("content-length");
    if (isHead)
        answer.isWhole = true;
    else if (length != answer.headers.end())
        answer.isWhole = readBytes(std::stoul(length->second), answer.body, until);
    else if (answer.headers["transfer-encoding"] == "chunked") {
        while (readLine(line, until)) {
            auto n = std::strtoul(line.c_str(), nullptr, 16);
            std::string end;
            if (!readBytes(n, answer.body, until) || !readLine(end, until))
                break;
            if (!n) {
                answer.isWhole = true;
                break;
            }
        }
    }
    return answer;
}

Server::Server(Handler handler, const std::string& ip, uint16_t port)
    : m_handler(std::move(handler))
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(ip, port);
    socklen_t size = sizeof address;
    if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(m_descriptor, 512) != 0) {
        std::cerr << "no address for a stand-in\n";
        std::exit(2);
    }
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = ip + ':' + std::to_string(ntohs(address.sin_port));
    m_thread = std::thread([this] { accept(); });
}

void Server::end()
{
    m_isStopping = true;
    ::shutdown(m_descriptor, SHUT_RDWR);
    ::close(m_descriptor);
    std::lock_guard lock(m_mutex);
    for (const auto& it : m_open)
        ::shutdown(it.first, SHUT_RDWR);
}

void Server::accept()
{
    while (!m_isStopping) {
        int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            std::lock_guard lock(m_mutex);
            m_open[descriptor] = true;
        }
        std::thread([this, descriptor] {
            Wire wire(descriptor);
            m_handler(wire);
            std::lock_guard lock(m_mutex);
            m_open.erase(descriptor);
            wire.close();
        }).detach();
    }
}

Store::Store()
    : m_server([this](Wire& wire) { serve(wire); })
{
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version, false };
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { {}, ++m_version, true };
    m_changed.notify_all();
}

void Store::setAway(bool isAway)
{
    std::lock_guard lock(m_mutex);
    m_isAway = isAway;
    m_changed.notify_all();
}

void Store::takeCopy()
{
    std::lock_guard lock(m_mutex);
    m_copy = m_rows;
    m_copyVersion = m_version;
}

void Store::restoreCopy()
{
    std::lock_guard lock(m_mutex);
    m_rows = m_copy;
    m_version = m_copyVersion;
    ++m_era;
    m_isAway = false;
    m_changed.notify_all();
}

void Store::serve(Wire& wire)
{
    Request request;
    while (wire.readRequest(request)) {
        unsigned status = 200;
        auto body = answer(request, status);
        std::string era;
        {
            std::lock_guard lock(m_mutex);
            era = std::to_string(m_era);
        }
        auto headers = "Content-Type: application/json\r\nStore-Era: " + era + "\r\n";
        if (!wire.send(answerText(status, headers, body)))
            return;
    }
}

std::string Store::rowsJson(const std::string& table, const Query& query, uint64_t since, bool withDeleted)
{
    auto from = query.find("from");
    auto to = query.find("to");
    std::vector<std::pair<uint64_t, std::string>> rows;
    for (const auto& [name, row] : m_rows) {
        bool isInRange = name.first == table && (from == query.end() || name.second >= from->second)
            && (to == query.end() || name.second < to->second);
        if (!isInRange || row.version <= since || (row.isDeleted && !withDeleted))
            continue;
        auto text = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + name.second
            + "\",\"rowVersion\":" + std::to_string(row.version);
        text += row.isDeleted ? ",\"deleted\":true}" : ",\"value\":\"" + encodeBase64(row.value) + "\"}";
        rows.emplace_back(withDeleted ? row.version : 0, text);
    }
    std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::string list;
    for (const auto& it : rows)
        list += (list.empty() ? "" : ",") + it.second;
    return "{\"rows\":[" + list + "],\"hasMore\":false,\"rowVersion\":" + std::to_string(m_version)
        + ",\"nowMs\":" + std::to_string(nowMs()) + "}";
}

std::string Store::answer(const Request& request, unsigned& status)
{
    auto query = queryOf(request.target);
    auto path = request.target.substr(0, request.target.find('?'));
    std::unique_lock lock(m_mutex);
    if (m_isAway) {
        status = 503;
        return "{}";
    }
    if (path == "/jacinthspindle/rows-get")
        return rowsJson(query["table"], query, 0, false);
    if (path == "/jacinthspindle/rows-feed") {
        auto since = std::stoull(query["sinceRev"]);
        auto table = query["table"];
        if (since > m_version) {
            status = 410;
            return "{}";
        }
        auto era = m_era;
        auto hasNews = [&] {
            return m_isAway || m_era != era || std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& it) {
                return it.first.first == table && it.second.version > since;
            });
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(std::stoll(query["waitMs"])), hasNews);
        if (m_isAway || m_era != era) {
            status = m_isAway ? 503 : 410;
            return "{}";
        }
        return rowsJson(table, {}, since, true);
    }
    if (path == "/jacinthspindle/rows-tx")
        return commit(request.body, status);
    status = 404;
    return "{}";
}

// A call of the daemon has one expected row and one row to put.
std::string Store::commit(const std::string& body, unsigned& status)
{
    auto expected = body.substr(body.find("\"expected\""));
    expected = expected.substr(0, expected.find(']'));
    auto puts = body.substr(body.find("\"puts\""));
    puts = puts.substr(0, puts.find(']'));
    std::pair<std::string, std::string> name { memberOf(puts, "table"), memberOf(puts, "key") };
    auto it = m_rows.find(name);
    uint64_t version = it == m_rows.end() || it->second.isDeleted ? 0 : it->second.version;
    if (std::to_string(version) != memberOf(expected, "rowVersion")) {
        status = 412;
        return "{\"rows\":[],\"rowVersion\":" + std::to_string(m_version) + "}";
    }
    m_rows[name] = { decodeBase64(memberOf(puts, "value")), ++m_version, false };
    m_changed.notify_all();
    return "{\"rowVersion\":" + std::to_string(m_version) + ",\"nowMs\":" + std::to_string(nowMs()) + "}";
}

Worker::Worker(Store& store, Options options)
    : m_store(store)
    , m_options(std::move(options))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_server([this](Wire& wire) { serve(wire); })
    , m_thread([this] { beat(); })
{
    m_thread.detach();
}

void Worker::beat()
{
    for (int n = 0; !m_isLeaving; ++n) {
        if (n % 12 == 0)
            writeRow();
        pauseMs(100);
    }
}

void Worker::writeRow()
{
    std::lock_guard lock(m_mutex);
    if (m_isLeaving)
        return;
    m_store.put("servers", m_options.id,
        "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_server.address()
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
            + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":" + std::to_string(m_born)
            + (m_options.isEngine ? ",\"routeKind\":\"card\",\"layers\":{\"from\":0,\"to\":1,\"version\":1}" : "")
            + ",\"sequence\":" + std::to_string(++m_sequence) + "}");
}

void Worker::leave()
{
    std::lock_guard lock(m_mutex);
    m_isLeaving = true;
    m_store.remove("servers", m_options.id);
}

void Worker::withdraw()
{
    m_store.remove("servers", m_options.id);
}

void Worker::end()
{
    m_hasEnded = true;
    m_server.end();
}

std::vector<Run> Worker::runs() const
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string Worker::answerTo(const Request& request)
{
    std::string leaving = m_isLeaving ? "Server-Leaving: 1\r\n" : "";
    if (request.target == "/jacinthspindle/report") {
        return answerText(200, leaving + "Content-Type: application/json\r\n",
            "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
            "\"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,"
            "\"layers\":{\"from\":0,\"to\":1,\"version\":1},\"pace\":1.0,\"born\":"
                + std::to_string(m_born) + "}");
    }
    if (request.target == "/healthz")
        return answerText(m_isLeaving ? 503 : 200, leaving + "X-Instance-Id: " + m_options.id + "\r\n", {});
    auto id = request.header("X-Attempt-Id");
    auto echo = leaving + "X-Attempt-Id: " + id + "\r\n";
    auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != m_options.id)
        return answerText(421, echo + "X-Instance-Id: " + m_options.id + "\r\n", {});
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ id, request, nowMs() });
    }
    record("worker " + m_options.id + " runs " + id + ": " + request.method + ' ' + request.target
        + ", X-Tenant: " + request.header("X-Tenant"));
    auto work = request.header("X-Work-Ms");
    pauseMs(work.empty() ? m_options.workMs : std::stoll(work));
    leaving = m_isLeaving ? "Server-Leaving: 1\r\n" : "";
    auto headers = leaving + "X-Attempt-Id: " + id + "\r\nX-Response-Signature: " + m_options.id + '-' + id + "\r\n";
    // An answer to HEAD has no body.
    if (request.method == "HEAD")
        return answerText(200, headers, {});
    if (m_options.isEngine)
        return answerText(200, headers + "Content-Type: text/event-stream\r\n", "id: 1\ndata: done " + id + "\n\n");
    return answerText(200, headers, "done " + id + '\n');
}

void Worker::serve(Wire& wire)
{
    Request request;
    while (wire.readRequest(request)) {
        auto answer = answerTo(request);
        if (m_hasEnded)
            return;
        size_t n = ++m_answers;
        auto spoilt = m_options.spoil ? m_options.spoil(request, n) : std::string();
        if (!wire.send(spoilt.empty() ? answer : spoilt) || !spoilt.empty())
            return;
    }
}

uint16_t freePort(const std::string& ip)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(ip, 0);
    socklen_t size = sizeof address;
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

Daemon::Daemon(const Store& store, const std::string& folder, const std::string& name, const std::string& ip)
    : m_folder(folder)
    , m_name(name)
    , m_front(ip + ':' + std::to_string(freePort(ip)))
    , m_ready(ip + ':' + std::to_string(freePort(ip)))
    , m_metricsPort(freePort(ip))
    , m_settings(folder + '/' + name + ".json")
{
    daemons.push_back(this);
    std::ofstream out(m_settings);
    auto inner = std::to_string(freePort(ip));
    out << R"({"nodeName":")" << name << R"(","role":"router","machineClass":"front","serves":["front"],"ip":")" << ip
        << R"(","zone":"z1","region":"r1","zones":{"z1":"r1"},"listen":{"front":")" << m_front << R"(","ready":")"
        << m_ready << R"("},"internalPorts":[)" << inner << ',' << m_metricsPort
        << R"(],"seeds":[],"bootstrap":true,"lossCounts":false,"limits":{"cpuShare":0.5,"cores":1,"memoryMb":182,)"
        << R"("maxFds":2940,"linkMbps":700.0,"diskMb":0},"dataDir":null,"discovery":"platform","entry":"vip",)"
        << R"("heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream",)"
        << R"("tenants","platform","layers"],"faultTolerance":{"machines":2,"zones":1,"regions":0},)"
        << R"("bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,)"
        << R"("graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,)"
        << R"("strictRevoke":true,"revokeMs":5000,"budgetRatio":0.2,"budgetWindowS":10,"extraRetries":425,)"
        << R"("recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":3000,"fencingEnforced":false},)"
        << R"("platform":{"address":")" << store.address() << R"(","form":"table","writesPerS":400,"readsPerS":2000,)"
        << R"("txnMs":5.0,"partitionWritesS":200,"rowBytes":65536,"crossShard":false,"historyS":20,)"
        << R"("blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}})" << '\n';
}

void Daemon::end()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    ::waitpid(m_process, &m_status, 0);
    m_process = -1;
}

void endDaemons()
{
    for (auto* it : daemons)
        it->end();
}

void Daemon::start()
{
    auto port = std::to_string(m_metricsPort);
    auto log = m_folder + '/' + m_name + ".log";
    m_process = ::fork();
    if (m_process)
        return;
    // It ends with the process of the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("JACINTHSPINDLE_NODE_FILE", m_settings.c_str(), 1);
    ::execl("target/jacinthspindle-routerd", "target/jacinthspindle-routerd", "--metrics-port", port.c_str(), nullptr);
    ::_exit(127);
}

void Daemon::signal(int number) const
{
    // Of a process that has ended there is no number left.
    if (m_process > 0)
        ::kill(m_process, number);
}

bool Daemon::isRunning()
{
    if (m_process < 0)
        return false;
    if (::waitpid(m_process, &m_status, WNOHANG) == 0)
        return true;
    m_process = -1;
    return false;
}

bool Daemon::isReady() const
{
    auto wire = Wire::connect(m_ready);
    if (!wire)
        return false;
    wire->send("GET /jacinthspindle/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return wire->readAnswer(1000).status == 200;
}

bool Daemon::awaitReady(int64_t timeoutMs)
{
    auto until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (isReady())
            return true;
        pauseMs(50);
    }
    return false;
}

std::string encodeBase64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t bits = 0;
        for (size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            out.push_back(i + j > bytes.size() ? '=' : letters[bits >> (18 - 6 * j) & 63]);
    }
    return out;
}

std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const std::string& key, const std::string& body, int64_t deadlineMs, const std::string& extra)
{
    auto text = method + ' ' + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + extra;
    if (!key.empty())
        text += "Authorization: Bearer " + key + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string temporaryFolder()
{
    std::string name = "/tmp/review-2-XXXXXX";
    if (!::mkdtemp(name.data()))
        std::exit(2);
    return name;
}

void removeFolder(const std::string& folder)
{
    if (std::getenv("KEEP"))
        return;
    for (const char* it : { "d1.json", "d1.log", "d2.json", "d2.log", "d3.json", "d3.log" })
        ::unlink((folder + '/' + it).c_str());
    ::rmdir(folder.c_str());
}

} // namespace review
