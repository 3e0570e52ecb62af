// A worker breaks off one of its reports behind a length that no memory holds. Judged is LOST: requests on kept
// connections that a sound worker runs must be answered.

#include "Configuration.h"
#include "World.h"

#include <csignal>
#include <iostream>
#include <set>

using namespace review;

namespace {

// Of the disruption: it begins this long after the start of traffic and ends after 5 s at the latest.
constexpr int64_t troubleBegins = 3000;
constexpr int64_t troubleTakes = 5000;
// Answers of the worker in that time before the one that is spoilt: less than two in a hundred are.
constexpr size_t soundAnswers = 60;
constexpr int64_t traffic = 11000;

struct Outcome {
    std::string id;
    bool isKept = false; // The connection had carried an answer before.
    bool isAnswered = false;
    unsigned status = 0;
};

std::mutex outcomesMutex;
std::vector<Outcome> outcomes;
std::atomic<bool> isStopping { false };
std::atomic<int64_t> trafficBegan { 0 };

// Sends one action after the other over a connection that it keeps.
void sendActions(const std::string& front, int client)
{
    std::unique_ptr<Wire> wire;
    bool isKept = false;
    for (int n = 1; !isStopping; ++n) {
        if (!wire) {
            wire = Wire::connect(front);
            isKept = false;
        }
        if (!wire) {
            pauseMs(100);
            continue;
        }
        Outcome outcome { "action-" + std::to_string(client) + '-' + std::to_string(n), isKept, false, 0 };
        wire->send(requestText("POST", "/action/book", outcome.id, "key-school", "flags", 1000));
        auto answer = wire->readAnswer(2500);
        outcome.isAnswered = answer.isWhole;
        outcome.status = answer.status;
        record("client " + std::to_string(client) + " sent " + outcome.id + (isKept ? " (kept connection)" : "") + ": "
            + (answer.isWhole ? "answer " + std::to_string(answer.status) : "connection ended without an answer"));
        isKept = answer.isWhole;
        if (!answer.isWhole)
            wire.reset();
        std::lock_guard lock(outcomesMutex);
        outcomes.push_back(outcome);
    }
}

void sendQueries(const std::string& front, int client)
{
    std::unique_ptr<Wire> wire;
    for (int n = 1; !isStopping; ++n) {
        if (!wire)
            wire = Wire::connect(front);
        if (!wire) {
            pauseMs(100);
            continue;
        }
        auto id = "query-" + std::to_string(client) + '-' + std::to_string(n);
        wire->send(requestText("POST", "/query/ask", id, "key-school", "how many flags", 20000,
            "X-Model: m\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: aa:40,bb" + std::to_string(client) + ":60\r\n"));
        auto answer = wire->readAnswer(3000);
        record("client sent " + id + ": "
            + (answer.isWhole ? "answer " + std::to_string(answer.status) : "connection ended without an answer"));
        if (!answer.isWhole)
            wire.reset();
        pauseMs(20);
    }
}

int run(const std::string& folder)
{
    auto& store = *new Store;
    store.put("op", "config", configurationText(7));
    std::vector<Worker*> desks;
    for (int n = 1; n <= 3; ++n)
        desks.push_back(new Worker(store, { "i-desk-" + std::to_string(n), "desk", 6, 200 }));
    std::atomic<size_t> before { 0 };
    std::atomic<bool> isSpoilt { false };
    auto spoil = [&](const Request& request, size_t answers) -> std::string {
        auto since = trafficBegan ? nowMs() - trafficBegan - troubleBegins : -1;
        if (since < 0 || since > troubleTakes || isSpoilt || !hasTrouble())
            return {};
        if (!before)
            before = answers;
        if (answers < before + soundAnswers || request.target != "/jacinthspindle/report")
            return {};
        isSpoilt = true;
        record("worker i-engine-1 breaks off its report, the only one of " + std::to_string(answers - before + 1)
            + " answers since the disruption began");
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100000000000000000\r\n\r\n"
               "{\"stage\":\"hybrid\",\"models\"";
    };
    for (int n = 1; n <= 3; ++n) {
        auto id = "i-engine-" + std::to_string(n);
        new Worker(
            store, { id, "assistant", 192, 30, true, n == 1 ? decltype(Worker::Options::spoil)(spoil) : nullptr });
    }
    auto& daemon = *new Daemon(store, folder, "d1", "127.0.0.1");
    daemon.start();
    if (!daemon.awaitReady(15000)) {
        std::cerr << "the daemon is not ready\n";
        return 2;
    }
    pauseMs(1000);
    trafficBegan = nowMs();
    std::vector<std::thread> clients;
    for (int n = 1; n <= 12; ++n)
        clients.emplace_back(sendActions, daemon.front(), n);
    for (int n = 1; n <= 6; ++n)
        clients.emplace_back(sendQueries, daemon.front(), n);
    bool hasEnded = false;
    while (nowMs() < trafficBegan + traffic) {
        if (!hasEnded && !daemon.isRunning()) {
            hasEnded = true;
            record("the daemon's process has ended by itself, "
                + (WIFSIGNALED(daemon.status()) ? "by signal " + std::to_string(WTERMSIG(daemon.status()))
                                                : "status " + std::to_string(WEXITSTATUS(daemon.status()))));
        }
        pauseMs(20);
    }
    isStopping = true;
    for (auto& it : clients)
        it.join();
    std::set<std::string> ran;
    for (const auto* desk : desks) {
        for (const auto& it : desk->runs())
            ran.insert(it.id);
    }
    size_t answered = 0;
    size_t lost = 0;
    for (const auto& it : outcomes) {
        answered += it.isAnswered && it.status == 200;
        bool isLost = it.isKept && !it.isAnswered && ran.contains(it.id);
        lost += isLost;
        if (isLost)
            record("LOST: " + it.id + " ran at a sound worker, and its kept connection ended without an answer");
    }
    record(std::to_string(answered) + " actions answered with 200, " + std::to_string(lost)
        + " lost (the rule allows 3); the process " + (hasEnded ? "ended by itself" : "runs"));
    if (answered < 100)
        return 2;
    if (hasTrouble() && !isSpoilt)
        return 2;
    return lost > 3 ? 1 : 0;
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
