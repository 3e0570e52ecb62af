// An empty worker ends before it has received layers, and its address goes to a worker of another service. Checks that
// no worker is ordered to hold more layers than its memory holds.

#include "../common/Harness.h"

using namespace review;

namespace {

constexpr double layerMb = 1750;

std::atomic<int> tooLarge = 0;
std::atomic<int> accepted = 0;

// A model worker. It takes place orders, and ends when an order exceeds its memory.
class Engine : public Worker {
public:
    Engine(Store& store, const std::string& id, const std::string& service, const std::string& kind, double mb,
        const std::string& ip)
        : Worker(store, id,
            { { "service", service }, { "zone", "z1" }, { "slots", 192 }, { "routeKind", kind }, { "stage", "hybrid" },
                { "models", Json::array() }, { "layers", nullptr } },
            ip, [this](Connection& c, const Message& m) { return handle(c, m); })
        , m_mb(mb)
        , m_kind(kind)
        , m_service(service)
    {
    }
    ~Engine() override { crash(); }

private:
    bool handle(Connection& connection, const Message& message)
    {
        std::unique_lock lock(m_mutex);
        finishOrder();
        if (message.target() == "/jacinthspindle/report")
            return answerJson(connection, 200,
                { { "stage", "hybrid" }, { "models", Json::array() }, { "busy", Clock::now() < m_busyUntil },
                    { "sequence", m_sequence }, { "queued", 0 }, { "running", 0 }, { "kvUsed", 0 },
                    { "kvTotal", 100000 }, { "handles", 0 }, { "born", born() }, { "pace", 1.0 },
                    { "routeKind", m_kind }, { "layers", m_layers }, { "stalled", Json::array() } });
        if (message.target() != "/jacinthspindle/order")
            return answerJson(connection, 404, Json::object());
        auto expected = message.header("x-expect-instance");
        if (!expected.empty() && expected != id())
            return answerJson(connection, 421, Json::object());
        auto order = Json::parse(message.body);
        if (order.contains("expected") && order["expected"] != m_sequence) {
            record().write(id() + " refuses an order with another sequence");
            return answerJson(connection, 409, Json::object());
        }
        if (Clock::now() < m_busyUntil)
            return answerJson(connection, 409, Json::object());
        int from = order["from"];
        int to = order["to"];
        bool isTooLarge = (to - from) * layerMb > m_mb;
        record().write(id() + " of " + m_service + " (" + m_kind + ", " + std::to_string(int(m_mb)) + " MB, "
            + std::to_string(int(m_mb / layerMb)) + " layers at most) at " + address() + " is ordered to hold layers "
            + std::to_string(from) + " to " + std::to_string(to) + (isTooLarge ? ": too many, it crashes" : ""));
        if (isTooLarge) {
            ++tooLarge;
            std::thread([this] { crash(); }).detach();
            return false;
        }
        ++accepted;
        ++m_sequence;
        m_next = { { "from", from }, { "to", to }, { "version", 1 } };
        // All orders are for a whole model: a tenth of its loadS, before the first request.
        auto loading = milliseconds(1400);
        m_busyUntil = Clock::now() + loading;
        std::thread([this, loading] {
            sleepFor(loading + milliseconds(1));
            std::lock_guard guard(m_mutex);
            finishOrder();
        }).detach();
        return answerJson(connection, 202, Json::object());
    }

    // Before the first request, loads take a tenth of their time.
    void finishOrder()
    {
        if (m_next.is_null() || Clock::now() < m_busyUntil)
            return;
        m_layers = std::exchange(m_next, nullptr);
        setEntry("layers", m_layers);
    }

    const double m_mb;
    const std::string m_kind;
    const std::string m_service;
    uint64_t m_sequence = 0;
    Json m_layers = nullptr;
    Json m_next = nullptr;
    Clock::time_point m_busyUntil {};
};

Json modelService(const std::string& name, int layers, const std::string& kind, double mb)
{
    auto service = plainService(name);
    service["engine"] = { { "slots", 192 }, { "kvCapacityTokens", 100000 }, { "tokenKvBytes", 590000 },
        { "linkMbps", 480000.0 }, { "stride", 2 },
        { "models",
            Json::array({ { { "name", name + "-model" }, { "pace", 1.0 }, { "loadS", 14.0 }, { "warmS", 1.0 } } }) },
        { "step_ms", 0.85 }, { "per_seq_ms", 0.00382 }, { "context_per_k", 0.00512 }, { "read_per_s", 196000.0 },
        { "pairs_per_m", 0.166 }, { "chunk", 512 }, { "report_lag_ms", 200.0 }, { "loads_at_once", 6 },
        { "usual", { { "prompt", 772 }, { "answer", 167 } } }, { "layers", layers }, { "layerMb", layerMb },
        { "activationBytes", 29500 }, { "pipeMbps", 13000.0 },
        { "kinds", Json::array({ { { "name", kind }, { "mb", mb }, { "pace", 1.4 }, { "readX", 1.0 } } }) } };
    return service;
}

} // namespace

int main()
{
    record().write("start");
    constexpr double h100Mb = 72000;
    constexpr double l4Mb = 21600;
    constexpr milliseconds reuseAfter { 2000 };
    Store store(ipOf(2));
    auto configuration = emptyConfiguration(1);
    configuration["services"]
        = Json::array({ modelService("assistant", 20, "h100", h100Mb), modelService("tutor", 8, "l4", l4Mb) });
    for (const auto* name : { "assistant", "tutor" }) {
        auto it = route(std::string("r-") + name, std::string("/") + name + "/", "stream", name, 20000);
        it["resumable"] = true;
        it["sticky"] = true;
        configuration["routes"].push_back(it);
    }
    store.put("op", "config", configuration);
    Engine assistant(store, "i-a1", "assistant", "h100", h100Mb, ipOf(51));
    Engine tutor(store, "i-t1", "tutor", "l4", l4Mb, ipOf(52));
    assistant.start();
    tutor.start();
    auto& daemon = *new Daemon("front-1", ipOf(10), store.address(), ipOf(10));
    daemon.start();
    daemon.awaitReady();
    sleepFor(milliseconds(12000));
    if (accepted < 2)
        cannotRun("the first workers received no layers");

    constexpr int added = 1;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < added; ++i) {
        auto n = std::to_string(i + 2);
        engines.push_back(std::make_unique<Engine>(store, "i-a" + n, "assistant", "h100", h100Mb, ipOf(60 + i)));
        record().write("i-a" + n + " of assistant is added, empty, at " + engines.back()->address());
        engines.back()->start();
    }
    if (hasTrouble()) {
        sleepFor(milliseconds(50));
        for (auto& it : engines) {
            it->crash();
            record().write(it->id() + " ends for good");
        }
        sleepFor(reuseAfter + milliseconds(50));
    }
    for (int i = 0; i < added; ++i) {
        auto n = std::to_string(i + 2);
        auto ip = ipOf(hasTrouble() ? 60 + i : 70 + i);
        engines.push_back(std::make_unique<Engine>(store, "i-t" + n, "tutor", "l4", l4Mb, ip));
        record().write("i-t" + n + " of tutor starts at " + engines.back()->address());
        // A worker writes its entry once per heartbeat interval.
        engines.back()->start(Worker::heartbeat);
    }
    sleepFor(milliseconds(12000));
    bool hasEnded = daemon.ended().has_value();
    daemon.kill(SIGKILL);
    record().write("orders that exceed a worker's memory: " + std::to_string(tooLarge));
    if (hasEnded)
        cannotRun("the daemon ended");
    engines.clear();
    leave(tooLarge ? 1 : 0);
}
