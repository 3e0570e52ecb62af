// CONFIG: a quick route that a later configuration adds beside a slow route of the same service is refused for good.

#include "../standins-3/World.h"

using namespace review;

namespace {

constexpr milliseconds slowWork { 5000 };
constexpr milliseconds quickWork { 30 };
constexpr milliseconds slowDeadline { 20000 };
constexpr milliseconds quickDeadline { 1000 };
constexpr milliseconds applyTime { 2000 }; // configApplyMs of the settings.

struct Counts {
    int sent = 0;
    int served = 0;
    std::map<std::string, int> ends;
};

// Sends requests of one route to all daemons in turn, at a steady pace.
class Pressure {
public:
    Pressure(World& world, std::string name, milliseconds interval, milliseconds deadline)
        : m_world(world)
        , m_name(std::move(name))
        , m_thread([this, interval, deadline] { run(interval, deadline); })
    {
    }
    ~Pressure()
    {
        m_isOver = true;
        m_thread.join();
        for (auto& it : m_calls)
            it.join();
    }
    // Counts of the requests that were sent from now on.
    void restart()
    {
        std::lock_guard lock(m_mutex);
        m_since = Clock::now();
        m_counts = {};
    }
    Counts counts()
    {
        std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    void run(milliseconds interval, milliseconds deadline)
    {
        for (size_t n = 0; !m_isOver; ++n) {
            auto* daemon = m_world.daemons[n % m_world.daemons.size()].get();
            m_calls.emplace_back([this, n, daemon, deadline] {
                auto it = m_world.call(*daemon, m_name + '-' + std::to_string(n), "POST", '/' + m_name + "/1",
                    "Authorization: Bearer key-1\r\n", "x", deadline);
                std::lock_guard lock(m_mutex);
                if (it.sentAt < m_since)
                    return;
                ++m_counts.sent;
                bool isServed = it.status == 200 && it.isWhole;
                m_counts.served += isServed;
                ++m_counts.ends[std::to_string(it.status)];
            });
            std::this_thread::sleep_for(interval);
        }
    }

    World& m_world;
    const std::string m_name;
    std::atomic<bool> m_isOver { false };
    std::mutex m_mutex;
    Clock::time_point m_since = Clock::now();
    Counts m_counts;
    std::vector<std::thread> m_calls;
    std::thread m_thread;
};

void note(World& world, const std::string& phase, const std::string& route, const Counts& counts)
{
    auto text
        = phase + ": " + route + ": sent " + std::to_string(counts.sent) + ", served " + std::to_string(counts.served);
    for (const auto& [status, n] : counts.ends)
        text += ", " + status + ": " + std::to_string(n);
    world.record.line(text);
}

Json configuration(uint64_t version, bool hasQuick)
{
    auto routes = Json::array({ routeOf("history", "/history/", "idempotent", "catalogue") });
    auto quick = routeOf("loans", "/loans/", "non_idempotent", "catalogue");
    quick["timeoutMs"] = quickDeadline.count();
    quick["targetLatencyMs"] = 150;
    if (hasQuick)
        routes.push_back(quick);
    return configurationOf(version, routes,
        Json::array({ { { "name", "catalogue" }, { "healthPath", "/healthz" }, { "maxConnections", 208 },
            { "protocol", "h1" }, { "tls", false } } }),
        Json::array({ { { "name", "school" }, { "apiKeys", { "key-1" } }, { "priority", 1 } } }));
}

int play(World& world)
{
    for (int i = 0; i < 3; ++i) {
        WorkerOptions options;
        options.id = "i-catalogue" + std::to_string(i + 1);
        options.service = "catalogue";
        options.slots = 6;
        auto* worker = world.addWorker(options);
        worker->act = [&world](Worker& self, const Message& request, int fd) {
            auto id = request["x-attempt-id"];
            world.noteRun(id, self, request);
            std::this_thread::sleep_for(request.target().starts_with("/history/") ? slowWork : quickWork);
            return sendAll(fd,
                answerText("200 OK",
                    "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + self.options().id + "\r\n", "done " + id));
        };
    }
    // Without the change both routes are there from the start.
    world.store.put("op", "config", configuration(7, !hasTrouble()).dump());
    for (int i = 0; i < 2; ++i)
        world.startDaemon(*world.addDaemon());
    if (!world.waitReady(milliseconds(10000)))
        return 2;
    // 0.5 a second and 10 a second: a sixth of the workers' slots is in use.
    auto history = std::make_unique<Pressure>(world, "history", milliseconds(2000), slowDeadline);
    std::unique_ptr<Pressure> loans;
    if (!hasTrouble())
        loans = std::make_unique<Pressure>(world, "loans", milliseconds(100), quickDeadline);
    std::this_thread::sleep_for(milliseconds(30000));
    note(world, "before", "history", history->counts());
    if (hasTrouble()) {
        world.store.put("op", "config", configuration(9, true).dump());
        world.record.line("the configuration that adds the route loans is acknowledged");
        std::this_thread::sleep_for(applyTime + milliseconds(1000));
        loans = std::make_unique<Pressure>(world, "loans", milliseconds(100), quickDeadline);
    }
    history->restart();
    loans->restart();
    std::this_thread::sleep_for(milliseconds(40000));
    auto quick = loans->counts();
    loans.reset();
    auto slow = history->counts();
    history.reset();
    note(world, "after", "history", slow);
    note(world, "after", "loans", quick);
    if (quick.sent < 20 || !slow.served)
        return 2;
    // Served less than a quarter as often as those on the first routes.
    bool isBroken = quick.served * slow.sent * 4 < slow.served * quick.sent;
    world.record.line(isBroken ? "CONFIG is broken" : "CONFIG held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? runScenario(argv[1], argv[2], play) : 2;
}
