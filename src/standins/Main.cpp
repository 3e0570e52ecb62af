// Serves the stand-ins that the flags name until SIGTERM or SIGINT.

#include "spindleadapters/spindleadapters.h"
#include "standins/EngineStandin.h"
#include "standins/PlatformStandins.h"
#include "standins/ServiceStandin.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace jacinthspindle::standins {

namespace {

    struct Settings {
        std::string tableAddress;
        std::string objectsAddress;
        std::string hostsAddress;
        std::string controlAddress;
        std::string sample;
        std::vector<std::string> only;
        std::vector<std::string> entries;
        std::vector<std::string> faults;
        EnginePace pace;
    };

    using Standins = std::vector<std::unique_ptr<Standin>>;

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    using Text = TCLAP::ValueArg<std::string>;
    using Time = TCLAP::ValueArg<uint32_t>;
    using List = TCLAP::MultiArg<std::string>;

    uint32_t countOf(milliseconds value)
    {
        return static_cast<uint32_t>(value.count());
    }

    // The arguments of TCLAP, which refer to the command line that holds them.
    struct Flags {
        EnginePace pace;
        TCLAP::CmdLine line { "Serves stand-ins of the platform, of engines and of plain services.", ' ', "0.1" };
        Text table { "", "table", "Address of the table service", false, "", "IP:port", line };
        Text objects { "", "objects", "Address of the object store", false, "", "IP:port", line };
        Text hosts { "", "hosts", "Address of the host list", false, "", "IP:port", line };
        Text control { "", "control", "Address of POST /faults and GET /counters", false, "", "IP:port", line };
        Text sample { "", "sample", "Folder of the table's CSV files; serves its endpoints", false, "", "folder",
            line };
        List only { "", "only", "Serve only this endpoint of the sample", false, "endpoint", line };
        List entries { "", "entry", "An entry host of the host list", false, "name,dataCentre,peerAddress,httpAddress",
            line };
        List faults { "", "fault", "Faults from the start, as POST /faults takes them", false, "JSON", line };
        Time token { "", "token-ms", "Time of an engine for one token", false, countOf(pace.perToken), "milliseconds",
            line };
        Time prefill { "", "prefill-ms", "Time of an engine before the first token", false, countOf(pace.prefill),
            "milliseconds", line };
        Time lag { "", "status-lag-ms", "Age that an engine's status may have", false, countOf(pace.statusLag),
            "milliseconds", line };
        Time loading { "", "loading-ms", "Time of an engine to carry out an order", false, countOf(pace.loading),
            "milliseconds", line };
    };

    Settings parseSettings(int count, const char* const* arguments)
    {
        auto flags = std::make_unique<Flags>();
        flags->line.parse(count, arguments);
        EnginePace pace { milliseconds(flags->token.getValue()), milliseconds(flags->prefill.getValue()),
            milliseconds(flags->lag.getValue()), milliseconds(flags->loading.getValue()) };
        return { flags->table.getValue(), flags->objects.getValue(), flags->hosts.getValue(), flags->control.getValue(),
            flags->sample.getValue(), flags->only.getValue(), flags->entries.getValue(), flags->faults.getValue(),
            pace };
    }

    std::optional<Table> readSample(const std::string& folder)
    {
        if (folder.empty())
            return Table();
        TableCsv csv;
        auto table = csv.parse({ readFile(folder + "/workspaces.csv"), readFile(folder + "/routes.csv"),
            readFile(folder + "/endpoints.csv") });
        for (const auto& it : csv.faults())
            std::cerr << it.toString() << "\n";
        return table;
    }

    std::vector<HostEntry> hostsOf(const Settings& settings, const Table& table)
    {
        std::vector<HostEntry> hosts;
        for (const auto& text : settings.entries) {
            std::istringstream in(text);
            HostEntry host;
            std::string dataCentre;
            std::getline(in, host.name, ',');
            std::getline(in, dataCentre, ',');
            std::getline(in, host.peerAddress, ',');
            std::getline(in, host.httpAddress, ',');
            host.dataCentre = DataCentreId(dataCentre);
            hosts.push_back(std::move(host));
        }
        for (const auto& it : table.endpoints)
            hosts.push_back({ HostKind::Endpoint, it.endpoint.value(), it.dataCentre, {}, {}, false });
        return hosts;
    }

    bool isServed(const Settings& settings, const EndpointRow& row)
    {
        const auto& only = settings.only;
        return only.empty() || std::find(only.begin(), only.end(), row.endpoint.value()) != only.end();
    }

    Standins makeStandins(const Settings& settings, const Table& table)
    {
        Standins standins;
        if (!settings.tableAddress.empty())
            standins.push_back(std::make_unique<TableStandin>(settings.tableAddress));
        if (!settings.objectsAddress.empty())
            standins.push_back(std::make_unique<ObjectStandin>(settings.objectsAddress));
        if (!settings.hostsAddress.empty())
            standins.push_back(std::make_unique<HostListStandin>(settings.hostsAddress, hostsOf(settings, table)));
        std::map<std::string, std::shared_ptr<ServiceRecords>> records;
        for (const auto& it : table.endpoints) {
            if (!isServed(settings, it))
                continue;
            if (it.kind == EndpointKind::Engine) {
                standins.push_back(std::make_unique<EngineStandin>(it, settings.pace));
                continue;
            }
            auto& shared = records[it.target];
            if (!shared)
                shared = std::make_shared<ServiceRecords>();
            standins.push_back(std::make_unique<ServiceStandin>(it, shared));
        }
        return standins;
    }

    bool setFaults(const Standins& standins, const std::string& text)
    {
        auto json = Json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("target"))
            return false;
        auto it = std::find_if(
            standins.begin(), standins.end(), [&](const auto& standin) { return json["target"] == standin->name(); });
        return it != standins.end() && (*it)->setFaults(json);
    }

    void installControl(httplib::Server& server, const Standins& standins)
    {
        server.Post("/faults", [&](const httplib::Request& request, httplib::Response& response) {
            if (!setFaults(standins, request.body))
                return answerError(response, 400, "the target or one of its faults is unknown");
            answerJson(response, "{}");
        });
        server.Get("/counters", [&](const httplib::Request&, httplib::Response& response) {
            Json counters = Json::object();
            for (const auto& it : standins)
                counters[it->name()] = it->counters();
            answerJson(response, counters.dump());
        });
    }

    int waitForSignal()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        int received = 0;
        sigwait(&signals, &received);
        return 0;
    }

    // All threads inherit the mask, so that only waitForSignal() receives the signals.
    void blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

    int serve(const Settings& settings)
    {
        auto table = readSample(settings.sample);
        if (!table)
            return exitStatus(ResultCode::TableInvalid);
        auto standins = makeStandins(settings, *table);
        for (const auto& it : standins) {
            if (it->start())
                continue;
            std::cerr << it->name() << ": the address cannot be bound\n";
            return exitStatus(ResultCode::SettingsInvalid);
        }
        for (const auto& it : settings.faults) {
            if (setFaults(standins, it))
                continue;
            std::cerr << "unknown fault: " << it << "\n";
            return exitStatus(ResultCode::SettingsInvalid);
        }
        StandinServer control(
            settings.controlAddress, [&](httplib::Server& server) { installControl(server, standins); });
        if (!settings.controlAddress.empty() && !control.start())
            return exitStatus(ResultCode::SettingsInvalid);
        std::cout << "serving " << standins.size() << " stand-ins" << std::endl;
        return waitForSignal();
    }

} // namespace

} // namespace jacinthspindle::standins

int main(int count, char** arguments)
{
    jacinthspindle::standins::blockSignals();
    return jacinthspindle::standins::serve(jacinthspindle::standins::parseSettings(count, arguments));
}
