// Flags by TCLAP with a thin layer for environment variables, and the checks of all values.

#include "daemon/Settings.h"

#include "spindleadapters/Environment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <map>
#include <memory>
#include <tclap/CmdLine.h>

namespace jacinthspindle::daemon {

namespace {

    constexpr const char* programVersion = "0.1.0";
    constexpr size_t maxNameLength = 64;
    constexpr size_t maxPeers = 64;
    // A shorter key would make the truncated HMAC-SHA256 of peer messages the stronger part.
    constexpr size_t minKeyLength = 16;
    constexpr size_t maxKeyLength = 256;
    constexpr size_t maxShownValue = 80;

    struct FlagText {
        const char* name;
        const char* description;
    };

    constexpr FlagText flagTexts[] = {
        { "host", "Name of this host; unique among the daemons" },
        { "data-centre", "Data centre of this host" },
        { "http-address", "IP:port for callers and operators" },
        { "peer-address", "IP:port for other daemons" },
        { "table-service", "IP:port of the platform's table service" },
        { "object-store", "IP:port of the platform's object store" },
        { "host-list", "IP:port of the platform's host list" },
        { "peers", "IP:port list of daemons to contact first, separated by commas" },
        { "peer-key", "Key that authenticates messages between daemons" },
        { "traffic-threads", "Threads for caller connections" },
        { "queue-limit", "Most inputs waiting for the control thread" },
        { "drain-lag-ms", "Time from lost readiness until new requests are refused" },
        { "trace-records", "Records in the trace ring" },
        { "log-level", "debug, info, warn or error" },
        { "seed", "Seed of all random choices; 0 takes one from the system" },
    };

    std::string shownValue(const std::string& value)
    {
        std::string shown = value.substr(0, maxShownValue);
        for (char& it : shown) {
            if (it < ' ' || it > '~')
                it = '?';
        }
        if (value.size() > maxShownValue)
            shown += "... (" + std::to_string(value.size()) + " bytes)";
        return shown;
    }

    // The arguments refer to the command line that holds them.
    struct FlagParser {
        TCLAP::CmdLine line { "Routes language-model pipelines over mixed accelerators.", ' ', programVersion };
        TCLAP::UnlabeledMultiArg<std::string> unknown { "unknown", "Nothing else is allowed", false, "text", line };
        std::vector<std::unique_ptr<TCLAP::MultiArg<std::string>>> flags;
    };

    // Holds the raw text of all settings and collects faults while they are converted.
    class SettingReader {
    public:
        explicit SettingReader(std::vector<SettingFault>& faults)
            : m_faults(faults)
        {
        }

        // Each flag takes several values and unknown arguments are collected, because TCLAP gives up at its first
        // fault.
        void parseFlags(const std::vector<std::string>& arguments)
        {
            FlagParser parser;
            parser.line.setExceptionHandling(false);
            std::vector<std::string> names;
            for (const auto& it : flagTexts) {
                names.emplace_back(it.name);
                parser.flags.push_back(std::make_unique<TCLAP::MultiArg<std::string>>(
                    "", it.name, it.description, false, "text", parser.line));
            }
            try {
                auto all = withEnvironment(arguments, names);
                parser.line.parse(all);
            } catch (const TCLAP::ArgException& error) {
                m_faults.push_back({ "command line", shownValue(error.argId()), "a value after each flag" });
            }
            for (const auto& it : parser.unknown.getValue())
                m_faults.push_back({ "command line", shownValue(it), "the flags that --help lists" });
            for (const auto& it : parser.flags) {
                if (it->isSet())
                    m_values[it->getName()] = it->getValue().back();
                if (it->getValue().size() > 1)
                    fault(it->getName(), it->getValue().back(), "one value");
            }
        }

        std::optional<std::string> text(const std::string& flag) const
        {
            auto it = m_values.find(flag);
            return it == m_values.end() ? std::nullopt : std::optional(it->second);
        }

        void fault(const std::string& flag, const std::string& value, const std::string& allowed)
        {
            m_faults.push_back({ "--" + flag + " or " + environmentName(flag),
                flag == "peer-key" ? "(not shown)" : shownValue(value), allowed });
        }

        std::string name(const std::string& flag)
        {
            auto value = text(flag).value_or("");
            bool isValid = !value.empty() && value.size() <= maxNameLength && std::isalnum(value.front()) != 0
                && std::all_of(value.begin(), value.end(),
                    [](unsigned char it) { return std::isalnum(it) != 0 || it == '-' || it == '_' || it == '.'; });
            if (!isValid)
                fault(flag, value, "1-64 letters, digits, '-', '_' or '.', starting with a letter or digit");
            return value;
        }

        std::string address(const std::string& flag)
        {
            auto value = text(flag).value_or("");
            if (!parseAddress(value))
                fault(flag, value, "IP:port with a port of 1-65535");
            return value;
        }

        std::vector<std::string> addresses(const std::string& flag)
        {
            std::vector<std::string> found;
            auto value = text(flag).value_or("");
            for (size_t start = 0; start < value.size();) {
                size_t end = std::min(value.find(',', start), value.size());
                found.push_back(value.substr(start, end - start));
                start = end + 1;
            }
            bool isValid = found.size() <= maxPeers
                && std::all_of(found.begin(), found.end(), [](const auto& it) { return parseAddress(it).has_value(); });
            if (!isValid)
                fault(flag, value, "at most 64 addresses IP:port, separated by commas");
            return found;
        }

        std::string key(const std::string& flag)
        {
            auto value = text(flag).value_or("");
            if (value.size() < minKeyLength || value.size() > maxKeyLength)
                fault(flag, value, "16-256 bytes");
            return value;
        }

        uint64_t number(const std::string& flag, uint64_t preset, uint64_t least, uint64_t most)
        {
            const auto given = text(flag);
            if (!given)
                return preset;
            const std::string& value = *given;
            uint64_t number = 0;
            const char* last = value.data() + value.size();
            auto [end, ec] = std::from_chars(value.data(), last, number);
            bool isWhole = ec == std::errc() && end == last;
            if (!isWhole || number < least || number > most)
                fault(flag, value, "a whole number of " + std::to_string(least) + "-" + std::to_string(most));
            return number;
        }

        LogLevel level(const std::string& flag)
        {
            auto value = text(flag).value_or("info");
            constexpr std::pair<const char*, LogLevel> levels[] = { { "debug", LogLevel::Debug },
                { "info", LogLevel::Info }, { "warn", LogLevel::Warn }, { "error", LogLevel::Error } };
            for (const auto& it : levels) {
                if (value == it.first)
                    return it.second;
            }
            fault(flag, value, "debug, info, warn or error");
            return LogLevel::Info;
        }

    private:
        std::vector<SettingFault>& m_faults;
        std::map<std::string, std::string> m_values;
    };

} // namespace

std::optional<Settings> readSettings(const std::vector<std::string>& arguments, std::vector<SettingFault>& faults)
{
    size_t before = faults.size();
    SettingReader reader(faults);
    reader.parseFlags(arguments);
    Settings settings;
    settings.host = HostId(reader.name("host"));
    settings.dataCentre = DataCentreId(reader.name("data-centre"));
    settings.httpAddress = reader.address("http-address");
    settings.peerAddress = reader.address("peer-address");
    settings.tableService = reader.address("table-service");
    settings.objectStore = reader.address("object-store");
    settings.hostList = reader.address("host-list");
    settings.peers = reader.addresses("peers");
    settings.peerKey = reader.key("peer-key");
    settings.trafficThreads = static_cast<uint32_t>(reader.number("traffic-threads", settings.trafficThreads, 1, 4096));
    settings.queueLimit = static_cast<uint32_t>(reader.number("queue-limit", settings.queueLimit, 16, 65536));
    settings.drainLag = std::chrono::milliseconds(
        reader.number("drain-lag-ms", static_cast<uint64_t>(settings.drainLag.count()), 0, 600000));
    settings.traceRecords = static_cast<uint32_t>(reader.number("trace-records", settings.traceRecords, 256, 1 << 20));
    settings.logLevel = reader.level("log-level");
    settings.seed = reader.number("seed", settings.seed, 0, UINT64_MAX);
    if (faults.size() > before)
        return std::nullopt;
    return settings;
}

std::string describeFaults(const std::vector<SettingFault>& faults)
{
    std::string text;
    for (const auto& it : faults)
        text += "setting " + it.setting + ": '" + it.value + "' is not allowed; allowed: " + it.allowed + "\n";
    return text;
}

std::optional<SocketAddress> parseAddress(const std::string& text)
{
    constexpr size_t maxAddressLength = 64;
    size_t colon = text.rfind(':');
    if (text.size() > maxAddressLength || colon == std::string::npos || colon == 0)
        return std::nullopt;
    std::string ip = text.substr(0, colon);
    bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    unsigned char parsed[sizeof(in6_addr)];
    if (inet_pton(isBracketed ? AF_INET6 : AF_INET, ip.c_str(), parsed) != 1)
        return std::nullopt;
    uint16_t port = 0;
    const char* last = text.data() + text.size();
    auto [end, ec] = std::from_chars(text.data() + colon + 1, last, port);
    if (ec != std::errc() || end != last || port == 0)
        return std::nullopt;
    return SocketAddress { ip, port };
}

} // namespace jacinthspindle::daemon
