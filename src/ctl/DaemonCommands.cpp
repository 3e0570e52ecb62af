// Commands that ask running daemons: status, health and drain.

#include "ctl/Commands.h"

#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace jacinthspindle {

std::optional<std::string> fetch(const std::string& address, const std::string& method, const std::string& path,
    std::chrono::milliseconds timeout, Reason& reason)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    auto result = method == "POST" ? client.Post(path) : client.Get(path);
    if (!result) {
        reason = { ResultCode::PlatformUnavailable, address + path + ": " + httplib::to_string(result.error()) };
        return std::nullopt;
    }
    if (result->status != 200) {
        reason = { ResultCode::PlatformUnavailable,
            address + path + " answered " + std::to_string(result->status) + ": " + result->body.substr(0, 400) };
        return std::nullopt;
    }
    return result->body;
}

namespace {

    struct DaemonRequest {
        const char* method;
        const char* path;
    };

    DaemonRequest requestOf(const std::string& command)
    {
        if (command == "status")
            return { "GET", "/status" };
        if (command == "health")
            return { "GET", "/readyz" };
        return { "POST", "/drain" };
    }

    void printText(const std::string& address, const std::string& body)
    {
        auto object = nlohmann::json::parse(body, nullptr, false);
        if (!object.is_object()) {
            std::cout << address << ": " << body << "\n";
            return;
        }
        std::cout << address << "\n";
        for (const auto& [name, value] : object.items())
            std::cout << "  " << name << ": " << value.dump() << "\n";
    }

} // namespace

ResultCode runDaemonCommand(const Options& options)
{
    if (options.daemons.empty())
        return fail(options, { ResultCode::UsageInvalid, "--daemons is missing" });
    auto request = requestOf(options.words.front());
    auto result = ResultCode::Ok;
    auto answers = nlohmann::json::array();
    for (const auto& address : options.daemons) {
        Reason reason;
        auto body = fetch(address, request.method, request.path, options.timeout, reason);
        if (!body)
            result = reason.code;
        if (options.json) {
            auto value = body ? nlohmann::json::parse(*body, nullptr, false) : nlohmann::json();
            answers.push_back({ { "daemon", address }, { "ok", body.has_value() },
                { "answer", value.is_discarded() ? nlohmann::json(*body) : value }, { "reason", reason.text } });
            continue;
        }
        if (body)
            printText(address, *body);
        else
            std::cerr << reason.text << "\n";
    }
    if (options.json)
        std::cout << answers.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    return result;
}

} // namespace jacinthspindle
