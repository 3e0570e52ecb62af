// DRAIN: the daemon that reads the platform freezes between two reads of the list of workers. The daemons that follow
// it send requests to a leaving worker for longer than drainMs.

#include "../standins-3/World.h"

using namespace review;

namespace {

constexpr milliseconds drainTime { 2000 }; // drainMs of the settings.
constexpr milliseconds freezeTime { 4000 };
constexpr milliseconds freezeAt { 870 }; // After a read; the next one comes after 900 ms.
constexpr milliseconds deadline { 1000 };
constexpr int rounds = 7;
constexpr int fronts = 7;

std::mutex mutex;
std::map<std::string, Clock::time_point> leftAt; // By worker.
int late = 0;
milliseconds latest { 0 };

Worker* addWorker(World& world, int n)
{
    WorkerOptions options;
    options.id = "i-catalogue" + std::to_string(n);
    options.service = "catalogue";
    options.slots = 6;
    auto* worker = world.addWorker(options);
    worker->act = [&world](Worker& self, const Message& request, int fd) {
        auto id = request["x-attempt-id"];
        {
            std::lock_guard lock(mutex);
            auto left = leftAt.find(self.options().id);
            auto time = left == leftAt.end() ? milliseconds(0)
                                             : std::chrono::duration_cast<milliseconds>(Clock::now() - left->second);
            if (time > drainTime) {
                ++late;
                latest = std::max(latest, time);
            }
        }
        world.noteRun(id, self, request);
        std::this_thread::sleep_for(milliseconds(30));
        return sendAll(fd,
            answerText("200 OK", "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + self.options().id + "\r\n",
                "done " + id));
    };
    return worker;
}

int play(World& world)
{
    std::vector<Worker*> present;
    int next = 1;
    for (; next <= 3; ++next)
        present.push_back(addWorker(world, next));
    auto route = routeOf("loans", "/loans/", "non_idempotent", "catalogue");
    route["timeoutMs"] = deadline.count();
    world.store.put("op", "config",
        configurationOf(7, Json::array({ route }),
            Json::array({ { { "name", "catalogue" }, { "healthPath", "/healthz" }, { "maxConnections", 208 },
                { "protocol", "h1" }, { "tls", false } } }),
            Json::array({ { { "name", "school" }, { "apiKeys", { "key-1" } }, { "priority", 1 } } }))
            .dump());
    for (int i = 0; i < fronts; ++i)
        world.startDaemon(*world.addDaemon());
    if (!world.waitReady(milliseconds(10000)))
        return 2;
    std::this_thread::sleep_for(milliseconds(5000));
    // Clients of all machines but the first, which is the one that reads the platform and will freeze.
    std::atomic<bool> isOver { false };
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::vector<std::thread> clients;
    for (size_t i = 1; i < world.daemons.size(); ++i) {
        for (int k = 0; k < 2; ++k)
            clients.emplace_back([&, i, k] {
                for (int n = 0; !isOver; ++n) {
                    auto id = std::to_string(i) + '-' + std::to_string(k) + '-' + std::to_string(n);
                    auto it = world.call(
                        *world.daemons[i], id, "POST", "/loans/1", "Authorization: Bearer key-1\r\n", "x", deadline);
                    ++sent;
                    served += it.status == 200;
                    std::this_thread::sleep_for(milliseconds(30));
                }
            });
    }
    auto& reader = *world.daemons.front();
    for (int round = 0; round < rounds; ++round) {
        // A worker is replaced: the new one starts first.
        auto* fresh = addWorker(world, next++);
        std::this_thread::sleep_for(milliseconds(3000));
        auto* leaving = present.front();
        present.erase(present.begin());
        present.push_back(fresh);
        world.store.awaitRead("servers", Clock::now() + milliseconds(3000));
        auto readAt = Clock::now();
        std::this_thread::sleep_for(milliseconds(10));
        auto left = leaving->leave();
        {
            std::lock_guard lock(mutex);
            leftAt[leaving->options().id] = left;
        }
        std::this_thread::sleep_until(readAt + freezeAt);
        if (hasTrouble())
            reader.signal(SIGSTOP);
        std::this_thread::sleep_for(freezeTime);
        if (hasTrouble())
            reader.signal(SIGCONT);
        leaving->withdraw();
        {
            std::lock_guard lock(mutex);
            world.record.line("round " + std::to_string(round + 1) + ": " + leaving->options().id + " left; so far "
                + std::to_string(late) + " requests came later than drainMs, the last one after "
                + std::to_string(latest.count()) + " ms");
        }
        std::this_thread::sleep_for(milliseconds(4000));
    }
    isOver = true;
    for (auto& it : clients)
        it.join();
    world.record.line("sent " + std::to_string(sent) + ", served " + std::to_string(served));
    if (served * 10 < sent * 9)
        return 2;
    world.record.line(late ? "DRAIN is broken" : "DRAIN held");
    return late ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? runScenario(argv[1], argv[2], play) : 2;
}
