// Settings of the daemon: flags, then environment variables, then defaults; all checked before anything starts.

#pragma once

#include "spindlecore/Types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle::daemon {

enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

struct Settings {
    HostId host;
    DataCentreId dataCentre;
    std::string httpAddress; // "IP:port", as all addresses here.
    std::string peerAddress;
    std::string tableService;
    std::string objectStore;
    std::string hostList;
    std::vector<std::string> peers; // Addresses to contact first.
    std::string peerKey;
    uint32_t trafficThreads = 640; // One per caller connection; 550 concurrent streams plus a reserve.
    uint32_t queueLimit = 4096; // Inputs that wait for the control thread, and connections that wait for a thread.
    std::chrono::milliseconds drainLag { 3000 }; // Time for the load balancer to notice that readiness is gone.
    uint32_t traceRecords = 65536;
    LogLevel logLevel = LogLevel::Info;
    uint64_t seed = 0;
};

// One fault: what was set, to what (shortened, with control characters replaced), and what is allowed.
struct SettingFault {
    std::string setting;
    std::string value;
    std::string allowed;
};

// Returns the settings, or nothing after adding every fault that was found. arguments holds the program's name first.
// Call it before the first thread starts, because it reads the environment.
std::optional<Settings> readSettings(const std::vector<std::string>& arguments, std::vector<SettingFault>& faults);

// Returns one line for each fault.
std::string describeFaults(const std::vector<SettingFault>&);

// Splits "IP:port" or "[IPv6]:port". Returns nothing when the text has another form or the port is not in 1-65535.
struct SocketAddress {
    std::string ip;
    uint16_t port = 0;
};
std::optional<SocketAddress> parseAddress(const std::string&);

} // namespace jacinthspindle::daemon
