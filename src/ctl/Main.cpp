// jacinthspindlectl: the command-line tool of operators.

#include "ctl/Commands.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace jacinthspindle {

ResultCode fail(const Options& options, const Reason& reason)
{
    if (options.json) {
        nlohmann::json object { { "code", static_cast<int>(reason.code) }, { "name", resultName(reason.code) },
            { "reason", reason.text } };
        std::cout << object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
        return reason.code;
    }
    std::cerr << "error " << static_cast<int>(reason.code) << " (" << resultName(reason.code) << "): " << reason.text
              << "\n";
    return reason.code;
}

namespace {

    ResultCode run(const Options& options)
    {
        const auto& command = options.words.front();
        if (command == "table")
            return runTableCommand(options);
        if (command == "timeline" || command == "replay")
            return runTraceCommand(options);
        if (command == "status" || command == "health" || command == "drain")
            return runDaemonCommand(options);
        return fail(options, { ResultCode::UsageInvalid, "unknown command '" + command + "'; see --help" });
    }

} // namespace

} // namespace jacinthspindle

int main(int argc, char** argv)
{
    using namespace jacinthspindle;
    Reason reason;
    auto options = parseOptions({ argv + 1, argv + argc }, reason);
    if (!options) {
        (reason.code == ResultCode::Ok ? std::cout : std::cerr) << reason.text;
        return exitStatus(reason.code);
    }
    return exitStatus(run(*options));
}
