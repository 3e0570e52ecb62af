// A platform, engines of three stages in two data centres, a catalogue and daemons, each in its own process.

#pragma once

#include "e2e/Process.h"
#include "e2e/StreamCaller.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jacinthspindle::e2e {

using Json = nlohmann::json;

struct ClusterOptions {
    uint32_t tokenMs = 5;
    std::string catalogueCapabilities = "fencing;lookup";
    std::vector<std::string> daemons { "entry-1", "entry-2", "entry-3" }; // Alternate between the data centres.
};

// Ports that no other run of the tests uses.
class PortBlock {
public:
    PortBlock();
    ~PortBlock();
    PortBlock(const PortBlock&) = delete;
    PortBlock& operator=(const PortBlock&) = delete;

    bool isHeld() const { return m_socket >= 0; }
    int next() { return ++m_port; }

private:
    int m_socket = -1;
    int m_port = 0;
};

class Cluster {
public:
    static constexpr uint32_t layers = 36;

    explicit Cluster(ClusterOptions options = {});
    ~Cluster();

    // Starts everything, applies the table and waits until all daemons are ready. Returns an empty text, or what
    // failed.
    std::string start();

    const std::string& http(const std::string& daemon) const { return m_http.at(daemon); }
    Process& daemon(const std::string& name) { return *m_processes.at(name); }
    Process& endpoint(const std::string& name) { return *m_processes.at(name); }
    std::string daemonList() const;
    const std::string& objectStore() const { return m_addresses.at("objects"); }

    // Posts faults to the stand-in of the name: "table", "objects", "hosts" or an endpoint.
    bool setFaults(const std::string& target, Json faults) const;
    Json counters(const std::string& target) const;
    // The endpoint of the stage ("front", "middle" or "back") that runs a stream; empty when none does.
    std::string busyEndpoint(const std::string& stage) const;
    // Tokens that all endpoints of the stage ran.
    uint64_t stageTokens(const std::string& stage) const;
    // How often the action with the key ran.
    uint32_t runs(const std::string& key) const;

    // Runs the command-line tool; returns its exit status and appends its output to output.
    int control(std::vector<std::string> arguments, std::string* output = nullptr) const;

    StreamQuery query(uint32_t tokens, const std::string& prompt = "hello") const;
    // The text that the engines generate for the query.
    static std::string expectedText(const StreamQuery&);
    // Last lines of the log of each process, for the message of a failed check.
    std::string logs() const;

private:
    void writeTable();
    void startStandins();
    void startDaemon(const std::string& name);
    std::string address(const std::string& name);

    const ClusterOptions m_options;
    PortBlock m_ports;
    std::string m_directory;
    std::map<std::string, std::string> m_addresses; // By role.
    std::map<std::string, std::string> m_http; // By daemon.
    std::map<std::string, std::string> m_control; // Control address by stand-in.
    std::map<std::string, std::unique_ptr<Process>> m_processes;
};

} // namespace jacinthspindle::e2e
