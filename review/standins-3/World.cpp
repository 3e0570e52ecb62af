#include "World.h"

#include <filesystem>
#include <sstream>

namespace review {

namespace {

    const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr milliseconds heartbeat { 1200 };
    constexpr milliseconds idleLimit { 15000 };

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        for (auto at = target.find('?'); at != std::string::npos;) {
            auto end = target.find('&', at + 1);
            auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            auto equals = part.find('=');
            std::string value;
            for (size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i) {
                bool isCoded = part[i] == '%' && i + 2 < part.size();
                value += isCoded ? static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)) : part[i];
                i += isCoded ? 2 : 0;
            }
            query[part.substr(0, equals)] = value;
            at = end;
        }
        return query;
    }

} // namespace

std::string encodeBase64(const std::string& text)
{
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t n = 0;
        for (size_t k = 0; k < 3; ++k)
            n = n << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? alphabet[n >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

std::string decodeBase64(const std::string& text)
{
    std::string out;
    uint32_t n = 0;
    int bits = 0;
    for (char it : text) {
        auto at = alphabet.find(it);
        if (at == std::string::npos)
            break;
        n = n << 6 | static_cast<uint32_t>(at);
        bits += 6;
        if (bits >= 8)
            out += static_cast<char>(n >> (bits -= 8) & 255);
    }
    return out;
}

bool Server::open(const std::string& address)
{
    int listener = listenAt(address);
    if (listener < 0)
        return false;
    std::thread([this, listener] {
        while (true) {
            pollfd it { listener, POLLIN, 0 };
            poll(&it, 1, -1);
            bool wasCut = beforeAccept();
            int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            while (wasCut && fd >= 0) {
                resetOnClose(fd);
                close(fd);
                pollfd next { listener, POLLIN, 0 };
                fd = poll(&next, 1, 0) > 0 ? accept4(listener, nullptr, nullptr, SOCK_CLOEXEC) : -1;
            }
            if (fd < 0)
                continue;
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                serve(fd);
                close(fd);
            }).detach();
        }
    }).detach();
    return true;
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version, false };
    m_change.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { {}, ++m_version, true };
    m_change.notify_all();
}

uint64_t Store::awaitRead(const std::string& table, Clock::time_point until)
{
    std::unique_lock lock(m_mutex);
    auto before = m_reads[table];
    m_read.wait_until(lock, until, [&] { return m_reads[table] != before; });
    return m_reads[table];
}

void Store::serve(int fd)
{
    Reader reader(fd);
    while (auto request = reader.head(Clock::now() + std::chrono::seconds(60))) {
        reader.body(*request, Clock::now() + idleLimit, false);
        auto target = request->target();
        auto query = queryOf(target);
        std::pair<std::string, std::string> answer { "404 Not Found", "{}" };
        if (target.starts_with("/jacinthspindle/rows-get"))
            answer = { "200 OK", read(query) };
        else if (target.starts_with("/jacinthspindle/rows-feed"))
            answer = { "200 OK", feed(query) };
        else if (target.starts_with("/jacinthspindle/rows-tx"))
            answer = commit(request->body);
        std::this_thread::sleep_for(milliseconds(4));
        if (!sendAll(fd, answerText(answer.first, "Content-Type: application/json\r\n", answer.second)))
            return;
    }
}

std::string Store::read(const std::map<std::string, std::string>& query)
{
    auto text = rows(query, 0);
    std::lock_guard lock(m_mutex);
    ++m_reads[query.at("table")];
    m_read.notify_all();
    return text;
}

std::string Store::rows(std::map<std::string, std::string> query, uint64_t since)
{
    std::lock_guard lock(m_mutex);
    auto rows = Json::array();
    bool hasMore = false;
    for (auto it = m_rows.lower_bound({ query["table"], query["from"] });
         it != m_rows.end() && it->first.first == query["table"]; ++it) {
        const auto& row = it->second;
        if (row.version <= since || (row.isDeleted && !since)
            || (!query["to"].empty() && it->first.second >= query["to"]))
            continue;
        hasMore = rows.size() >= 500;
        if (hasMore)
            break;
        Json entry { { "table", it->first.first }, { "part", "" }, { "key", it->first.second },
            { "rowVersion", row.version } };
        if (row.isDeleted)
            entry["deleted"] = true;
        else
            entry["value"] = encodeBase64(row.value);
        rows.push_back(entry);
    }
    auto now = std::chrono::duration_cast<milliseconds>(Clock::now() - m_begin).count();
    return Json { { "rows", rows }, { "hasMore", hasMore }, { "rowVersion", m_version }, { "nowMs", now } }.dump();
}

std::string Store::feed(const std::map<std::string, std::string>& query)
{
    auto until = Clock::now() + milliseconds(std::stoll("0" + query.at("waitMs")));
    uint64_t since = std::stoull("0" + query.at("sinceRev"));
    {
        std::unique_lock lock(m_mutex);
        m_change.wait_until(lock, until, [&] {
            return std::any_of(m_rows.begin(), m_rows.end(),
                [&](const auto& it) { return it.first.first == query.at("table") && it.second.version > since; });
        });
    }
    return rows({ { "table", query.at("table") } }, since);
}

std::pair<std::string, std::string> Store::commit(const std::string& body)
{
    auto call = Json::parse(body, nullptr, false);
    if (call.is_discarded())
        return { "400 Bad Request", "{}" };
    std::lock_guard lock(m_mutex);
    for (const auto& it : call["expected"]) {
        auto found = m_rows.find({ it["table"], it["key"] });
        bool isThere = found != m_rows.end() && !found->second.isDeleted;
        if ((isThere ? found->second.version : 0) != it["rowVersion"].get<uint64_t>())
            return { "412 Precondition Failed", R"({"rows":[]})" };
    }
    ++m_version;
    for (const auto& it : call["puts"])
        m_rows[{ it["table"], it["key"] }] = { decodeBase64(it["value"]), m_version, false };
    for (const auto& it : call["remove"])
        m_rows[{ it["table"], it["key"] }] = { {}, m_version, true };
    m_change.notify_all();
    return { "200 OK", Json { { "rowVersion", m_version }, { "nowMs", 1 } }.dump() };
}

Worker::Worker(World& world, WorkerOptions options)
    : m_world(world)
    , m_options(std::move(options))
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

bool Worker::start(const std::string& address)
{
    m_address = address;
    if (!open(address))
        return false;
    writeRow();
    std::thread([this] { beat(); }).detach();
    return true;
}

void Worker::setCut(bool isCut)
{
    std::lock_guard lock(m_mutex);
    m_isCut = isCut;
    m_change.notify_all();
}

bool Worker::awaitPath()
{
    std::unique_lock lock(m_mutex);
    bool hadToWait = m_isCut;
    m_change.wait(lock, [this] { return !m_isCut; });
    return hadToWait;
}

// Writes the row every heartbeat; after three without one the store drops it, as the platform does.
void Worker::beat()
{
    while (!m_world.isOver()) {
        std::this_thread::sleep_for(milliseconds(20));
        auto silence = Clock::now() - m_beatAt;
        if (m_isWithdrawn)
            continue;
        if (!m_isCut && silence >= heartbeat)
            writeRow();
        else if (m_isListed && silence >= 3 * heartbeat) {
            m_isListed = false;
            m_world.store.remove("servers", m_options.id);
            m_world.record.line("row of " + m_options.id + " removed after three heartbeats");
        }
    }
}

void Worker::writeRow()
{
    Json row { { "service", m_options.service }, { "address", m_address }, { "zone", "za" }, { "version", "v1" },
        { "slots", m_options.slots }, { "state", m_isLeaving ? "draining" : "ready" }, { "coldRemainingMs", 0 },
        { "sequence", ++m_beats }, { "born", m_born } };
    if (!m_options.kind.empty()) {
        std::lock_guard lock(m_mutex);
        row["routeKind"] = m_options.kind;
        row["stage"] = "hybrid";
        row["models"] = Json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", Json::array() } } });
        row["layers"] = m_to ? Json { { "from", m_from }, { "to", m_to }, { "version", 1 } } : Json();
    }
    m_beatAt = Clock::now();
    if (!m_isListed)
        m_world.record.line("row of " + m_options.id + " written");
    m_isListed = true;
    m_world.store.put("servers", m_options.id, row.dump());
}

Clock::time_point Worker::leave()
{
    m_isLeaving = true;
    writeRow();
    return Clock::now();
}

void Worker::withdraw()
{
    m_isWithdrawn = true;
    std::this_thread::sleep_for(milliseconds(50));
    m_world.store.remove("servers", m_options.id);
}

bool Worker::holds(int from, int to)
{
    std::lock_guard lock(m_mutex);
    return m_to && from >= m_from && to <= m_to;
}

std::string Worker::layersText()
{
    std::lock_guard lock(m_mutex);
    return std::to_string(m_from) + '-' + std::to_string(m_to);
}

std::string Worker::report()
{
    std::lock_guard lock(m_mutex);
    auto stalled = Json::array();
    for (const auto& [id, address] : m_stalled)
        stalled.push_back({ { "id", id }, { "address", address } });
    return Json {
        { "stage", "hybrid" },
        { "models", Json::array({ { { "name", "m0" }, { "version", 1 }, { "adapters", Json::array() } } }) },
        { "busy", m_isBusy }, { "sequence", m_orders }, { "queued", 0 }, { "running", m_running.load() },
        { "kvUsed", 0 }, { "kvTotal", 100000 }, { "handles", 0 }, { "pace", 1.0 }, { "born", m_born },
        { "layers", m_to ? Json { { "from", m_from }, { "to", m_to }, { "version", 1 } } : Json() },
        { "stalled", stalled }
    }.dump();
}

std::string Worker::order(const Message& request)
{
    auto call = Json::parse(request.body, nullptr, false);
    std::lock_guard lock(m_mutex);
    if (call.is_discarded() || call.value("operation", "") != "place")
        return answerText("400 Bad Request", {}, "{}");
    if (m_isBusy || call.value("expected", m_orders) != m_orders)
        return answerText("409 Conflict", {}, "{}");
    ++m_orders;
    m_isBusy = true;
    int from = call["from"];
    int to = call["to"];
    auto time = milliseconds(static_cast<int>(1000 * m_world.loadS * (to - from) / std::max(1, m_world.layers)));
    m_world.record.line(m_options.id + " is ordered to hold layers " + std::to_string(from) + '-' + std::to_string(to));
    std::thread([this, from, to, time] {
        std::this_thread::sleep_for(time);
        {
            std::lock_guard inner(m_mutex);
            m_from = from;
            m_to = to;
            m_isBusy = false;
        }
        if (!m_isCut)
            writeRow();
    }).detach();
    return answerText("202 Accepted", {}, "{}");
}

void Worker::serve(int fd)
{
    Reader reader(fd);
    while (auto request = reader.head(Clock::now() + idleLimit)) {
        reader.body(*request, Clock::now() + idleLimit, false);
        awaitPath();
        auto target = request->target();
        auto expected = (*request)["x-expect-instance"];
        bool isOther = !expected.empty() && expected != m_options.id;
        if (isOther) {
            if (!sendAll(fd, answerText("421 Misdirected Request", "X-Instance-Id: " + m_options.id + "\r\n", {})))
                return;
        } else if (target == "/jacinthspindle/report") {
            if (!sendAll(fd, answerText("200 OK", "Content-Type: application/json\r\n", report())))
                return;
        } else if (target == "/jacinthspindle/order") {
            if (!sendAll(fd, order(*request)))
                return;
        } else if (target == "/healthz") {
            if (!sendAll(fd, answerText("200 OK", "X-Instance-Id: " + m_options.id + "\r\n", {})))
                return;
        } else if (!(act ? act(*this, *request, fd) : run(*request, fd)))
            return;
    }
}

bool Worker::run(const Message& request, int fd)
{
    auto id = request["x-attempt-id"];
    auto echo = "X-Attempt-Id: " + id + "\r\n";
    if (m_options.kind.empty()) {
        m_world.noteRun(id, *this, request);
        std::this_thread::sleep_for(m_options.work);
        return sendAll(
            fd, answerText("200 OK", echo + "X-Response-Signature: s." + m_options.id + "\r\n", "done " + id));
    }
    std::vector<Worker*> path;
    std::stringstream hops(request["x-hop-count"]);
    for (std::string hop; std::getline(hops, hop, ',');) {
        auto equals = hop.find('=');
        auto dash = hop.find('-', equals);
        auto* worker = m_world.workerAt(hop.substr(0, equals));
        int from = std::stoi(hop.substr(equals + 1));
        int to = std::stoi(hop.substr(dash + 1));
        // A part that is cut off is found out by waiting for it.
        if (!worker || (!worker->isCut() && !worker->holds(from, to)))
            return sendAll(
                fd, answerText("421 Misdirected Request", echo + "At-Server: " + hop.substr(0, equals) + "\r\n", {}));
        path.push_back(worker);
    }
    if (path.empty())
        return sendAll(fd, answerText("421 Misdirected Request", echo + "At-Server: " + m_address + "\r\n", {}));
    ++m_running;
    bool isKept = stream(request, fd, path);
    --m_running;
    return isKept;
}

bool Worker::stream(const Message& request, int fd, const std::vector<Worker*>& path)
{
    auto id = request["x-attempt-id"];
    bool hasBegun = false;
    int first = std::atoi(request["last-event-id"].c_str()) + 1;
    std::this_thread::sleep_for(m_options.work);
    for (int n = first; n <= m_options.events; ++n) {
        awaitPath();
        auto since = Clock::now();
        for (auto* stage : path) {
            while (stage != this && stage->isCut()) {
                {
                    std::lock_guard lock(m_mutex);
                    m_stalled[id] = stage->address();
                }
                pollfd caller { fd, POLLRDHUP, 0 };
                bool isOver = Clock::now() - since > std::chrono::duration<double>(m_world.stallS);
                bool hasLeft = poll(&caller, 1, 20) > 0;
                if (!isOver && !hasLeft)
                    continue;
                std::lock_guard lock(m_mutex);
                m_stalled.erase(id);
                if (hasBegun || hasLeft)
                    return false;
                return sendAll(fd,
                    answerText("503 Service Unavailable",
                        "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nAt-Server: " + stage->address() + "\r\n",
                        {}));
            }
        }
        {
            std::lock_guard lock(m_mutex);
            m_stalled.erase(id);
        }
        if (!hasBegun) {
            hasBegun = true;
            m_world.noteRun(id, *this, request);
            if (!sendAll(fd,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id
                        + "\r\nX-Response-Signature: s." + m_options.id + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
                return false;
        }
        if (!sendAll(fd, chunk("id: " + std::to_string(n) + "\ndata: " + id + ' ' + std::to_string(n) + "\n\n")))
            return false;
        std::this_thread::sleep_for(m_options.eventGap);
    }
    if (!hasBegun)
        sendAll(fd,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s."
                + m_options.id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    return sendAll(fd, "0\r\n\r\n");
}

void Daemon::start(const std::string& program)
{
    pid = fork();
    if (pid)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("JACINTHSPINDLE_NODE_FILE", settings.c_str(), 1);
    execl(program.c_str(), program.c_str(), "--metrics-port", "7355", nullptr);
    _exit(127);
}

void Daemon::signal(int number) const
{
    if (pid > 0)
        kill(pid, number);
}

bool Daemon::wait(milliseconds timeout)
{
    auto until = Clock::now() + timeout;
    while (isRunning() && Clock::now() < until)
        std::this_thread::sleep_for(milliseconds(5));
    return !isRunning();
}

bool Daemon::isRunning()
{
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid)
        pid = -1;
    return pid > 0;
}

bool Daemon::isReady() const
{
    int fd = connectTo(readyAddress(), milliseconds(500));
    if (fd < 0)
        return false;
    sendAll(fd, "GET /jacinthspindle/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Reader reader(fd);
    auto head = reader.head(Clock::now() + milliseconds(500));
    close(fd);
    return head && head->status() == 200;
}

World::World(std::string program, std::string folder)
    : record(folder + "/record.txt")
    , m_program(std::move(program))
{
    ::signal(SIGPIPE, SIG_IGN);
    // Runs at the same time must not share addresses.
    for (int i = 0; i < 64 && m_blockSocket < 0; ++i) {
        m_block = 128 + (getpid() + i) % 64;
        m_blockSocket = listenAt(ip(0, 0) + ":7999");
    }
    auto pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    settings = { { "role", "router" }, { "machineClass", "front" }, { "serves", { "front" } }, { "zone", "za" },
        { "region", "ra" }, { "zones", { { "za", "ra" } } }, { "internalPorts", { 7340, 7355 } },
        { "seeds", Json::array() }, { "bootstrap", true }, { "lossCounts", false },
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
            { { "address", ip(0, 1) + ":8223" }, { "form", "table" }, { "writesPerS", 400 }, { "readsPerS", 2000 },
                { "txnMs", 5.0 }, { "partitionWritesS", 200 }, { "rowBytes", 65536 }, { "crossShard", false },
                { "historyS", 20 }, { "blobBytes", 8388608 }, { "blobMs", 25.0 }, { "blobMbS", 80.0 } } } };
    if (m_blockSocket < 0 || !store.open(ip(0, 1) + ":8223"))
        throw std::runtime_error("no free address");
}

World::~World()
{
    stop();
}

void World::stop()
{
    if (m_isOver)
        return;
    m_isOver = true;
    for (auto& it : daemons) {
        it->signal(SIGKILL);
        it->wait(milliseconds(2000));
    }
    const char* keep = std::getenv("KEEP_LOGS");
    std::error_code ec;
    if (!keep)
        std::filesystem::remove_all(m_folder, ec);
    else
        std::fprintf(stderr, "%s\n", m_folder.c_str());
}

std::string World::ip(int group, int number) const
{
    return "127." + std::to_string(m_block) + '.' + std::to_string(group) + '.' + std::to_string(number + 1);
}

Worker* World::addWorker(const WorkerOptions& options)
{
    workers.push_back(std::make_unique<Worker>(*this, options));
    auto* worker = workers.back().get();
    if (!worker->start(ip(1, static_cast<int>(workers.size())) + ":8080"))
        throw std::runtime_error("no free address");
    return worker;
}

Daemon* World::addDaemon()
{
    auto daemon = std::make_unique<Daemon>();
    auto n = static_cast<int>(daemons.size());
    daemon->ip = ip(2, n);
    daemon->name = "front-" + std::to_string(n + 1);
    daemon->settings = m_folder + '/' + daemon->name + ".json";
    daemon->log = m_folder + '/' + daemon->name + ".log";
    daemons.push_back(std::move(daemon));
    return daemons.back().get();
}

void World::startDaemon(Daemon& daemon)
{
    auto own = settings;
    own["nodeName"] = daemon.name;
    own["ip"] = daemon.ip;
    own["listen"] = { { "front", daemon.front() }, { "ready", daemon.readyAddress() } };
    std::ofstream(daemon.settings) << own.dump();
    daemon.start(m_program);
}

Worker* World::workerAt(const std::string& address)
{
    for (auto& it : workers) {
        if (it->address() == address)
            return it.get();
    }
    return nullptr;
}

bool World::waitReady(milliseconds timeout)
{
    auto until = Clock::now() + timeout;
    auto isReady = [](const auto& it) { return it->isReady(); };
    while (Clock::now() < until) {
        if (std::all_of(daemons.begin(), daemons.end(), isReady))
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

Outcome World::call(const Daemon& daemon, const std::string& id, const std::string& method, const std::string& path,
    const std::string& fields, const std::string& body, milliseconds deadline)
{
    Outcome outcome;
    outcome.id = id;
    outcome.sentAt = Clock::now();
    int fd = connectTo(daemon.front(), milliseconds(1000));
    if (fd >= 0) {
        auto text = method + ' ' + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + fields;
        if (!body.empty())
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        sendAll(fd, text + "\r\n" + body);
        outcome.sentAt = Clock::now();
        auto until = outcome.sentAt + deadline + milliseconds(1000);
        Reader reader(fd);
        if (auto head = reader.head(until)) {
            reader.body(*head, until, true);
            outcome.status = head->status();
            outcome.isWhole = head->isWhole;
            outcome.answer = std::move(*head);
        }
        outcome.end = reader.end();
        close(fd);
    }
    outcome.endedAt = Clock::now();
    return outcome;
}

void World::noteRun(const std::string& id, const Worker& worker, const Message& request)
{
    std::lock_guard lock(m_mutex);
    m_runs[id].push_back(worker.options().id + (request["x-tenant"].empty() ? "" : " for " + request["x-tenant"]));
}

std::vector<std::string> World::runsOf(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    return m_runs[id];
}

int runScenario(const std::string& program, const std::string& folder, int (*play)(World&))
{
    int status = 2;
    try {
        World world(program, folder);
        status = play(world);
        world.stop();
        // Threads of the stand-ins still use the world.
        std::fflush(nullptr);
        _exit(status);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    return status;
}

Json routeOf(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service)
{
    Json route { { "name", name }, { "host", "desk.example" }, { "prefix", prefix }, { "routeKind", kind },
        { "timeoutMs", 20000 }, { "targetLatencyMs", 500 }, { "priority", 1 }, { "service", service },
        { "maxAttempts", kind == "non_idempotent" ? 1 : 2 }, { "public", false } };
    if (kind == "stream") {
        route["sticky"] = true;
        route["resumable"] = true;
        route["gapAimMs"] = 200;
    }
    return route;
}

Json configurationOf(uint64_t version, Json routes, Json services, Json tenants)
{
    return { { "version", version }, { "routes", std::move(routes) }, { "services", std::move(services) },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } },
        { "tenants", std::move(tenants) } };
}

} // namespace review
