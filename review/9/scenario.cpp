// The operator adds a public route, and clients use it with the keys that they have. Judged is UNASKED: the worker must
// be told the tenant that holds the client's key.

#include "Configuration.h"
#include "World.h"

#include <iostream>

using namespace review;

namespace {

constexpr int64_t configApplyMs = 2000;

struct Sent {
    std::string id;
    int64_t atMs = 0;
};

int run(const std::string& folder)
{
    auto& store = *new Store;
    store.put("op", "config", configurationText(7));
    auto& worker = *new Worker(store, { "i-desk-1", "desk", 6, 30 });
    auto& daemon = *new Daemon(store, folder, "d1", "127.0.0.1");
    daemon.start();
    if (!daemon.awaitReady(15000)) {
        std::cerr << "the daemon is not ready\n";
        return 2;
    }
    pauseMs(500);
    std::vector<Sent> sent;
    size_t served = 0;
    auto wire = Wire::connect(daemon.front());
    auto book = [&](const std::string& path) {
        if (!wire)
            wire = Wire::connect(daemon.front());
        if (!wire)
            return;
        auto id = "action-" + std::to_string(sent.size() + 1);
        sent.push_back({ id, nowMs() });
        wire->send(requestText("POST", path, id, "key-school", "flags", 1000));
        auto answer = wire->readAnswer(2500);
        served += answer.status == 200;
        record("client sent " + id + " to " + path + " with the key of tenant school: answer "
            + std::to_string(answer.status));
        if (!answer.isWhole)
            wire.reset();
        pauseMs(200);
    };
    for (int n = 0; n < 10; ++n)
        book("/action/book");
    store.put("op", "config", configurationText(8, hasTrouble() ? AddedRoute::Public : AddedRoute::WithKey));
    auto changedAt = nowMs();
    record(std::string("configuration 8 is acknowledged; it adds the route /open/, which ")
        + (hasTrouble() ? "is public" : "needs a key"));
    while (nowMs() < changedAt + configApplyMs + 3000)
        book("/open/book");
    size_t wrong = 0;
    for (const auto& it : worker.runs()) {
        auto tenant = it.request.header("X-Tenant");
        if (tenant == "school")
            continue;
        ++wrong;
        record("UNASKED: worker i-desk-1 ran " + it.id + ", sent with the key of tenant school, for tenant '" + tenant
            + "'");
    }
    record(std::to_string(served) + " requests answered with 200, " + std::to_string(wrong)
        + " of them run for another tenant than that of the key");
    if (served < 20)
        return 2;
    return wrong ? 1 : 0;
}

} // namespace

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    auto folder = temporaryFolder();
    int result = run(folder);
    endDaemons();
    removeFolder(folder);
    std::_Exit(result);
}
