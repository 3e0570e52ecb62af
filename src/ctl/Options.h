// Command line of jacinthspindlectl.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <spindleadapters/spindleadapters.h>
#include <string>
#include <vector>

namespace jacinthspindle {

struct Options {
    std::vector<std::string> words; // The command, for example "table" "apply".
    std::string directory = "."; // Of the CSV files.
    std::string tableService;
    std::string objectStore;
    std::vector<std::string> daemons; // HTTP addresses, "IP:port".
    std::vector<std::string> files; // Trace files.
    std::optional<uint64_t> base;
    std::optional<uint64_t> revision;
    std::string author;
    std::string changeId;
    std::string request;
    std::string subject;
    std::string out; // File for trace records.
    std::string outcomes; // File of stated outcomes, for replay.
    std::chrono::milliseconds timeout { 2000 };
    bool json = false;
};

// Parses arguments and environment. Returns nothing when the program should end: after --help and --version with Ok,
// after a fault with UsageInvalid; the text for the user is in the reason.
std::optional<Options> parseOptions(const std::vector<std::string>& arguments, Reason&);

} // namespace jacinthspindle
