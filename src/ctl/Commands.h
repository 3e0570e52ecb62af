// The commands of jacinthspindlectl. Each returns the result code that decides the exit status.

#pragma once

#include "ctl/Options.h"

#include <spindlecore/spindlecore.h>

namespace jacinthspindle {

ResultCode runTableCommand(const Options&);
ResultCode runTraceCommand(const Options&);
ResultCode runDaemonCommand(const Options&);

// Prints an error in the form that --json asks for and returns its code.
ResultCode fail(const Options&, const Reason&);

// Fetches a path of a daemon by GET or POST. Returns nothing and sets the reason when no whole answer came or its
// status is not 200.
std::optional<std::string> fetch(
    const std::string& address, const std::string& method, const std::string& path, std::chrono::milliseconds, Reason&);

} // namespace jacinthspindle
