// The log: lines for changes of state only; everything that happens per request is a counter or a trace record.

#pragma once

#include "daemon/Settings.h"

#include <string>
#include <vector>

namespace jacinthspindle::daemon {

struct LogField {
    std::string name;
    std::string value;
};

// Sends lines as JSON to the standard error stream. Call it once, before the first thread starts.
void startLog(LogLevel);

// Thread-safe.
void logState(LogLevel, const std::string& message, const std::vector<LogField>& fields = {});

} // namespace jacinthspindle::daemon
