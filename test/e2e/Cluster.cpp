// Starting, watching and ending the processes of a cluster.

#include "e2e/Cluster.h"

#include "standins/TokenText.h"

#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <netinet/in.h>
#include <spindlecore/spindlecore.h>
#include <sstream>
#include <sys/socket.h>

namespace jacinthspindle::e2e {

namespace {

    constexpr int firstPort = 22000;
    constexpr int blockPorts = 50;
    constexpr int blocks = 32; // Up to port 23599; scripts/demo uses those above.
    constexpr size_t shownLogBytes = 600;
    constexpr const char* stages[] = { "front", "middle", "back" };
    constexpr const char* dataCentres[] = { "north", "south" };
    const std::string binaries = JACINTHSPINDLE_BINARY_DIR;

    // Returns a socket that holds the port, or -1 when it is taken.
    int holdPort(int port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        name.sin_port = htons(static_cast<uint16_t>(port));
        if (bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0)
            return socket;
        close(socket);
        return -1;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    bool canConnect(const std::string& address)
    {
        return get(address, "/counters", milliseconds(1000)).status == 200;
    }

} // namespace

// Runs of the tests at the same time must not share ports. The first port of a block is held for as long as the cluster
// exists, and the others belong to its holder.
PortBlock::PortBlock()
{
    int start = getpid() % blocks;
    for (int i = 0; i < blocks && m_socket < 0; ++i) {
        m_port = firstPort + (start + i) % blocks * blockPorts;
        m_socket = holdPort(m_port);
    }
}

PortBlock::~PortBlock()
{
    if (m_socket >= 0)
        close(m_socket);
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
{
    auto pattern = (std::filesystem::temp_directory_path() / "jacinthspindle-e2e-XXXXXX").string();
    m_directory = mkdtemp(pattern.data()) ? pattern : std::string();
}

Cluster::~Cluster()
{
    m_processes.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

std::string Cluster::address(const std::string& name)
{
    auto& found = m_addresses[name];
    if (found.empty())
        found = "127.0.0.1:" + std::to_string(m_ports.next());
    return found;
}

void Cluster::writeTable()
{
    std::ofstream(m_directory + "/workspaces.csv") << "workspace,weight,requests_per_s,tokens_per_s,concurrency\n"
                                                      "schools-board,8,,,\n";
    std::ofstream(m_directory + "/routes.csv")
        << "route,kind,workspaces,target,version,adapter,layers,deadline_ms,max_tokens,idempotent\n"
           "assistant,model,,assistant-llm,v1,,36,50000,2000,yes\n"
           "loan-actions,service,,catalogue,,,,10000,1,no\n"
           "catalogue-search,service,,catalogue,,,,10000,1,yes\n";
    std::ofstream endpoints(m_directory + "/endpoints.csv");
    endpoints << "endpoint,data_centre,kind,target,version,adapters,layers,address,accelerator,slots,weight,link_mbps,"
                 "state,capabilities\n";
    uint32_t first = 0;
    for (const char* stage : stages) {
        for (const char* dataCentre : dataCentres) {
            auto name = std::string(stage) + "-" + dataCentre;
            endpoints << name << "," << dataCentre << ",engine,assistant-llm,v1,," << first << "-" << first + 12 << ","
                      << address(name) << ",l4,16,1,1000,active,fencing\n";
        }
        first += 12;
    }
    endpoints << "catalogue,north,service,catalogue,,,," << address("catalogue") << ",cpu,64,1,1000,active,"
              << m_options.catalogueCapabilities << "\n";
}

void Cluster::startStandins()
{
    auto start = [&](const std::string& name, std::vector<std::string> arguments) {
        m_control[name] = address(name + "-control");
        std::vector<std::string> command { binaries + "/jacinthspindle-standins", "--sample", m_directory, "--control",
            m_control[name], "--token-ms", std::to_string(m_options.tokenMs) };
        command.insert(command.end(), arguments.begin(), arguments.end());
        m_processes[name] = std::make_unique<Process>(std::move(command), m_directory + "/" + name + ".log");
    };
    std::vector<std::string> platform { "--table", address("table"), "--objects", address("objects"), "--hosts",
        address("hosts"), "--only", "none" };
    for (size_t i = 0; i < m_options.daemons.size(); ++i) {
        const auto& name = m_options.daemons[i];
        platform.insert(platform.end(),
            { "--entry", name + "," + dataCentres[i % 2] + "," + address(name + "-peer") + "," + address(name) });
    }
    start("platform", platform);
    for (const char* stage : stages) {
        for (const char* dataCentre : dataCentres) {
            auto name = std::string(stage) + "-" + dataCentre;
            start(name, { "--only", name });
        }
    }
    start("catalogue", { "--only", "catalogue" });
}

void Cluster::startDaemon(const std::string& name)
{
    auto index = std::find(m_options.daemons.begin(), m_options.daemons.end(), name) - m_options.daemons.begin();
    std::string peers;
    for (const auto& it : m_options.daemons)
        peers += (peers.empty() ? "" : ",") + address(it + "-peer");
    m_http[name] = address(name);
    std::vector<std::string> command { binaries + "/jacinthspindled", "--host", name, "--data-centre",
        dataCentres[index % 2], "--http-address", m_http[name], "--peer-address", address(name + "-peer"),
        "--table-service", address("table"), "--object-store", address("objects"), "--host-list", address("hosts"),
        "--peers", peers, "--peer-key", "a key for the end-to-end tests", "--drain-lag-ms", "300" };
    m_processes[name] = std::make_unique<Process>(std::move(command), m_directory + "/" + name + ".log");
}

std::string Cluster::start()
{
    if (!m_ports.isHeld())
        return "all port blocks are taken";
    writeTable();
    startStandins();
    for (const auto& [name, control] : m_control) {
        if (!waitFor([&, &control = control] { return canConnect(control); }))
            return name + " does not serve";
    }
    std::string output;
    int status = this->control({ "table", "apply", "--dir", m_directory, "--base", "0", "--author", "e2e" }, &output);
    if (status != 0)
        return "table apply: status " + std::to_string(status) + ": " + output;
    for (const auto& it : m_options.daemons)
        startDaemon(it);
    for (const auto& [name, address] : m_http) {
        bool isReady
            = waitFor([&, &address = address] { return get(address, "/readyz", milliseconds(1000)).status == 200; });
        if (!isReady)
            return name + " is not ready";
    }
    return {};
}

std::string Cluster::daemonList() const
{
    std::string list;
    for (const auto& [name, address] : m_http)
        list += (list.empty() ? "" : ",") + address;
    return list;
}

bool Cluster::setFaults(const std::string& target, Json faults) const
{
    auto it = m_control.find(target);
    httplib::Client client("http://" + (it == m_control.end() ? m_control.at("platform") : it->second));
    client.set_read_timeout(waitLimit);
    faults["target"] = target;
    auto result = client.Post("/faults", faults.dump(), "application/json");
    return result && result->status == 200;
}

Json Cluster::counters(const std::string& target) const
{
    auto answer = get(m_control.at(target), "/counters");
    auto json = Json::parse(answer.body, nullptr, false);
    return json.is_object() && json.contains(target) ? json[target] : Json::object();
}

std::string Cluster::busyEndpoint(const std::string& stage) const
{
    for (const char* dataCentre : dataCentres) {
        auto name = stage + "-" + dataCentre;
        auto json = counters(name);
        if (json.value("started", 0) > json.value("ended", 0))
            return name;
    }
    return {};
}

uint64_t Cluster::stageTokens(const std::string& stage) const
{
    uint64_t n = 0;
    for (const char* dataCentre : dataCentres)
        n += counters(stage + "-" + dataCentre).value("tokens", 0);
    return n;
}

uint32_t Cluster::runs(const std::string& key) const
{
    auto json = counters("catalogue");
    auto endpointKey = actionEndpointKey(WorkspaceId("schools-board"), key);
    return json.contains("runs") ? json["runs"].value(endpointKey, 0U) : UINT32_MAX;
}

int Cluster::control(std::vector<std::string> arguments, std::string* output) const
{
    auto log = m_directory + "/ctl.log";
    std::error_code ec;
    std::filesystem::remove(log, ec);
    std::vector<std::string> command { binaries + "/jacinthspindlectl" };
    command.insert(command.end(), arguments.begin(), arguments.end());
    if (arguments.front() == "table")
        command.insert(
            command.end(), { "--table-service", m_addresses.at("table"), "--object-store", m_addresses.at("objects") });
    Process process(std::move(command), log);
    auto status = process.waitForEnd();
    if (output)
        *output += readFile(log);
    return status.value_or(-1);
}

StreamQuery Cluster::query(uint32_t tokens, const std::string& prompt) const
{
    StreamQuery query;
    query.prompt = prompt;
    query.tokens = tokens;
    query.seed = 7;
    return query;
}

std::string Cluster::expectedText(const StreamQuery& query)
{
    GenerationCall call;
    call.prompt = query.prompt;
    call.seed = query.seed.value_or(0);
    call.model = "assistant-llm";
    call.version = "v1";
    std::string text;
    for (uint32_t i = 0; i < query.tokens; ++i)
        text += standins::tokenText(call, i);
    return text;
}

std::string Cluster::logs() const
{
    std::string text;
    for (const auto& it : std::filesystem::directory_iterator(m_directory)) {
        if (it.path().extension() != ".log")
            continue;
        auto log = readFile(it.path());
        if (!log.empty() && !log.starts_with("serving"))
            text += "\n--- " + it.path().filename().string() + "\n"
                + log.substr(log.size() - std::min(log.size(), shownLogBytes));
    }
    return text;
}

} // namespace jacinthspindle::e2e
