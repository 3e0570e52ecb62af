// Tests of the daemon's settings with missing, malformed, oversized and hostile values.

#include "daemon/Settings.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::daemon;

namespace {

// All required flags with valid values, followed by further arguments. TCLAP is given a later value of the same flag as
// a repetition, so a flag to be tested replaces its valid value.
std::vector<std::string> argumentsWith(const std::vector<std::pair<std::string, std::string>>& changes)
{
    std::vector<std::pair<std::string, std::string>> flags = { { "host", "entry-1" }, { "data-centre", "north" },
        { "http-address", "127.0.0.1:8080" }, { "peer-address", "127.0.0.1:8081" },
        { "table-service", "127.0.0.1:7000" }, { "object-store", "127.0.0.1:7001" }, { "host-list", "127.0.0.1:7002" },
        { "peer-key", "0123456789abcdef" } };
    for (const auto& change : changes) {
        auto it
            = std::find_if(flags.begin(), flags.end(), [&](const auto& flag) { return flag.first == change.first; });
        if (it == flags.end())
            flags.push_back(change);
        else
            it->second = change.second;
    }
    std::vector<std::string> arguments { "jacinthspindled" };
    for (const auto& [name, value] : flags) {
        arguments.push_back("--" + name);
        arguments.push_back(value);
    }
    return arguments;
}

struct EnvironmentGuard {
    explicit EnvironmentGuard(const char* variable, const char* value)
        : name(variable)
    {
        ::setenv(variable, value, 1); // NOLINT(concurrency-mt-unsafe)
    }
    ~EnvironmentGuard() { ::unsetenv(name); } // NOLINT(concurrency-mt-unsafe)
    EnvironmentGuard(const EnvironmentGuard&) = delete;
    EnvironmentGuard& operator=(const EnvironmentGuard&) = delete;
    const char* name;
};

} // namespace

TEST_CASE("valid flags give settings with the stated presets")
{
    std::vector<SettingFault> faults;
    auto settings = readSettings(argumentsWith({ { "peers", "10.0.0.1:1,[::1]:2" } }), faults);
    REQUIRE_MESSAGE(settings, describeFaults(faults));
    CHECK(settings->host == HostId("entry-1"));
    CHECK(settings->peers == std::vector<std::string> { "10.0.0.1:1", "[::1]:2" });
    CHECK(settings->trafficThreads == 640);
    CHECK(settings->seed == 0);
}

TEST_CASE("a flag precedes the environment, which precedes the preset")
{
    EnvironmentGuard threads("JACINTHSPINDLE_TRAFFIC_THREADS", "12");
    EnvironmentGuard host("JACINTHSPINDLE_HOST", "other");
    std::vector<SettingFault> faults;
    auto settings = readSettings(argumentsWith({}), faults);
    REQUIRE_MESSAGE(settings, describeFaults(faults));
    CHECK(settings->trafficThreads == 12);
    CHECK(settings->host == HostId("entry-1"));
}

TEST_CASE("all faults are reported in one go with setting, value and what is allowed")
{
    std::vector<SettingFault> faults;
    auto arguments = argumentsWith({ { "http-address", "localhost:80" }, { "traffic-threads", "0" },
        { "queue-limit", "1e9" }, { "log-level", "loud" }, { "peer-key", "short" } });
    arguments.insert(arguments.begin() + 1, "--colour");
    CHECK_FALSE(readSettings(arguments, faults));
    auto text = describeFaults(faults);
    CHECK_MESSAGE(faults.size() == 6, text);
    for (const char* part : { "--colour", "--http-address", "localhost:80", "JACINTHSPINDLE_TRAFFIC_THREADS", "1-4096",
             "--queue-limit", "1e9", "loud", "debug, info, warn or error", "--peer-key" })
        CHECK_MESSAGE(text.find(part) != std::string::npos, part);
    CHECK_MESSAGE(text.find("'short'") == std::string::npos, "the key must not be shown");
}

TEST_CASE("each malformed, oversized or hostile value is one fault and is shown in bounded, visible form")
{
    struct Case {
        const char* flag;
        std::string value;
    };
    const Case cases[] = { { "host", "" }, { "host", std::string(65, 'a') }, { "host", "a/b" }, { "host", "-x" },
        { "host", "a\nb" }, { "data-centre", "north\x1b[2J" }, { "http-address", "127.0.0.1" },
        { "http-address", "127.0.0.1:" }, { "http-address", "127.0.0.1:0" }, { "http-address", "127.0.0.1:65536" },
        { "http-address", "127.0.0.1:80 " }, { "http-address", ":80" }, { "peer-address", "1.2.3.4.5:80" },
        { "peer-address", "::1:80" }, { "peer-address", "[::1:80" }, { "table-service", "http://127.0.0.1:1" },
        { "peers", "127.0.0.1:1,,127.0.0.1:2" }, { "peers", std::string(100000, ',') }, { "peer-key", "" },
        { "peer-key", std::string(257, 'k') }, { "traffic-threads", "-1" }, { "traffic-threads", "4097" },
        { "traffic-threads", "99999999999999999999" }, { "traffic-threads", "0x10" }, { "traffic-threads", "" },
        { "drain-lag-ms", "600001" }, { "trace-records", "255" }, { "trace-records", "1048577" },
        { "seed", "18446744073709551616" }, { "log-level", "INFO" } };
    for (const auto& it : cases) {
        CAPTURE(it.flag);
        CAPTURE(it.value);
        std::vector<SettingFault> faults;
        CHECK_FALSE(readSettings(argumentsWith({ { it.flag, it.value } }), faults));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].value.size() < 120);
        CHECK(std::all_of(faults[0].value.begin(), faults[0].value.end(), [](char c) { return c >= ' ' && c <= '~'; }));
    }
}

TEST_CASE("a flag without a value or given twice is a fault")
{
    std::vector<SettingFault> faults;
    auto arguments = argumentsWith({});
    arguments.emplace_back("--seed");
    CHECK_FALSE(readSettings(arguments, faults));
    faults.clear();
    arguments.insert(arguments.end(), { "1", "--seed", "2" });
    CHECK_FALSE(readSettings(arguments, faults));
    CHECK_MESSAGE(faults.size() == 1, describeFaults(faults));
}
