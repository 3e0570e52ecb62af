// CSV by libfccp. Its columns are fixed at compile time, so each kind of row has its own reader.

#include "spindleadapters/TableCsv.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <sstream>
#include <unordered_map>

// The library reads ahead in a thread unless told otherwise; texts in memory need none.
#define CSV_IO_NO_THREAD
#include <libfccp/csv.h>

namespace jacinthspindle {

namespace {

    constexpr char listSeparator = ';';
    constexpr size_t maxFileBytes = 64 << 20;

    using LineOfRow = std::unordered_map<std::string, unsigned>;

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> items;
        std::istringstream stream(text);
        for (std::string it; std::getline(stream, it, listSeparator);) {
            if (!it.empty())
                items.push_back(it);
        }
        return items;
    }

    template <typename Items, typename Name> std::string joinList(const Items& items, Name name)
    {
        std::string text;
        for (const auto& it : items)
            text += (text.empty() ? "" : std::string(1, listSeparator)) + name(it);
        return text;
    }

    // Parses the cells of one row and collects their faults.
    class RowCells {
    public:
        RowCells(std::vector<CellFault>& faults, const char* file, unsigned line)
            : m_faults(faults)
            , m_file(file)
            , m_line(line)
        {
        }

        void fault(const char* column, const std::string& text)
        {
            m_faults.push_back({ m_file, m_line, column, text });
        }

        uint32_t number(const char* column, const std::string& text, uint32_t whenEmpty)
        {
            if (text.empty())
                return whenEmpty;
            uint32_t value = 0;
            auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
            if (ec != std::errc {} || end != text.data() + text.size())
                fault(column, "'" + text + "' is not a whole number from 0 to 4294967295");
            return value;
        }

        bool flag(const char* column, const std::string& text, bool whenEmpty)
        {
            if (text.empty())
                return whenEmpty;
            if (text != "yes" && text != "no")
                fault(column, "'" + text + "' is neither yes nor no");
            return text == "yes";
        }

        // Returns the index of text among the allowed words.
        size_t word(const char* column, const std::string& text, const std::vector<const char*>& allowed)
        {
            auto it = std::find(allowed.begin(), allowed.end(), text);
            if (it != allowed.end())
                return static_cast<size_t>(it - allowed.begin());
            fault(column, "'" + text + "' is not one of " + joinList(allowed, [](const char* word) { return word; }));
            return 0;
        }

        LayerRange layers(const char* column, const std::string& text)
        {
            if (text.empty())
                return {};
            auto dash = text.find('-');
            if (dash == std::string::npos) {
                fault(column, "'" + text + "' is not first-end");
                return {};
            }
            return { number(column, text.substr(0, dash), 0), number(column, text.substr(dash + 1), 0) };
        }

        Capabilities capabilities(const char* column, const std::string& text)
        {
            Capabilities result;
            for (const auto& it : splitList(text)) {
                switch (word(column, it, { "fencing", "lookup", "dedup" })) {
                case 0:
                    result.fencing = it == "fencing";
                    break;
                case 1:
                    result.lookup = true;
                    break;
                default:
                    result.dedup = true;
                }
            }
            return result;
        }

    private:
        std::vector<CellFault>& m_faults;
        const char* m_file;
        unsigned m_line;
    };

    template <unsigned columns>
    using Reader = io::CSVReader<columns, io::trim_chars<' ', '\t', '\r'>, io::double_quote_escape<',', '"'>>;

    // Calls readHeader once and readRow until the end of the text. Errors of the library become faults.
    template <unsigned columns> class FileReader {
    public:
        FileReader(std::vector<CellFault>& faults, const char* file, const std::string& text)
            : m_faults(faults)
            , m_file(file)
            , m_reader(file, text.data(), text.data() + text.size())
        {
            if (text.size() > maxFileBytes)
                m_faults.push_back({ m_file, 0, "", "is larger than 64 MiB" });
        }

        template <typename... Names> bool readHeader(Names... names)
        {
            try {
                m_reader.read_header(io::ignore_no_column, names...);
                return true;
            } catch (const io::error::base& error) {
                m_faults.push_back({ m_file, 1, "", error.what() });
                return false;
            }
        }

        // Reads rows into cells and calls handle(line) for each.
        template <typename... Cells> void readRows(const std::function<void(unsigned)>& handle, Cells&... cells)
        {
            for (;;) {
                try {
                    if (!m_reader.read_row(cells...))
                        return;
                } catch (const io::error::base& error) {
                    m_faults.push_back({ m_file, m_reader.get_file_line(), "", error.what() });
                    if (dynamic_cast<const io::error::line_length_limit_exceeded*>(&error))
                        return;
                    continue;
                }
                handle(m_reader.get_file_line());
            }
        }

    private:
        std::vector<CellFault>& m_faults;
        const char* m_file;
        Reader<columns> m_reader;
    };

    constexpr const char* workspacesFile = "workspaces.csv";
    constexpr const char* routesFile = "routes.csv";
    constexpr const char* endpointsFile = "endpoints.csv";

    void rememberLine(RowCells& cells, LineOfRow& lines, const char* column, const std::string& id, unsigned line)
    {
        auto [it, isNew] = lines.emplace(id, line);
        if (!isNew)
            cells.fault(column, "'" + id + "' already stands in line " + std::to_string(it->second));
    }

    void readWorkspaces(const std::string& text, Table& table, LineOfRow& lines, std::vector<CellFault>& faults)
    {
        FileReader<5> reader(faults, workspacesFile, text);
        if (!reader.readHeader("workspace", "weight", "requests_per_s", "tokens_per_s", "concurrency"))
            return;
        std::string name, weight, requests, tokens, concurrency;
        auto handle = [&](unsigned line) {
            RowCells cells(faults, workspacesFile, line);
            rememberLine(cells, lines, "workspace", name, line);
            table.workspaces.push_back(
                { WorkspaceId(name), cells.number("weight", weight, 1), cells.number("requests_per_s", requests, 0),
                    cells.number("tokens_per_s", tokens, 0), cells.number("concurrency", concurrency, 0) });
        };
        reader.readRows(handle, name, weight, requests, tokens, concurrency);
    }

    void readRoutes(const std::string& text, Table& table, LineOfRow& lines, std::vector<CellFault>& faults)
    {
        FileReader<10> reader(faults, routesFile, text);
        if (!reader.readHeader("route", "kind", "workspaces", "target", "version", "adapter", "layers", "deadline_ms",
                "max_tokens", "idempotent"))
            return;
        std::string name, kind, workspaces, target, version, adapter, layers, deadline, maxTokens, idempotent;
        auto handle = [&](unsigned line) {
            RowCells cells(faults, routesFile, line);
            rememberLine(cells, lines, "route", name, line);
            RouteRow row;
            row.route = RouteId(name);
            row.kind = static_cast<RouteKind>(cells.word("kind", kind, { "model", "service" }));
            for (const auto& it : splitList(workspaces))
                row.workspaces.emplace_back(it);
            row.target = target;
            row.version = version;
            row.adapter = adapter;
            row.layers = cells.number("layers", layers, 0);
            row.deadline = std::chrono::milliseconds(
                cells.number("deadline_ms", deadline, static_cast<uint32_t>(row.deadline.count())));
            row.maxTokens = cells.number("max_tokens", maxTokens, row.maxTokens);
            row.idempotent = cells.flag("idempotent", idempotent, true);
            table.routes.push_back(std::move(row));
        };
        reader.readRows(
            handle, name, kind, workspaces, target, version, adapter, layers, deadline, maxTokens, idempotent);
    }

    void readEndpoints(const std::string& text, Table& table, LineOfRow& lines, std::vector<CellFault>& faults)
    {
        FileReader<14> reader(faults, endpointsFile, text);
        if (!reader.readHeader("endpoint", "data_centre", "kind", "target", "version", "adapters", "layers", "address",
                "accelerator", "slots", "weight", "link_mbps", "state", "capabilities"))
            return;
        std::string name, dataCentre, kind, target, version, adapters, layers, address, accelerator, slots, weight,
            link, state, capabilities;
        auto handle = [&](unsigned line) {
            RowCells cells(faults, endpointsFile, line);
            rememberLine(cells, lines, "endpoint", name, line);
            EndpointRow row;
            row.endpoint = EndpointId(name);
            row.dataCentre = DataCentreId(dataCentre);
            row.kind = static_cast<EndpointKind>(cells.word("kind", kind, { "engine", "service" }));
            row.target = target;
            row.version = version;
            row.adapters = splitList(adapters);
            row.layers = cells.layers("layers", layers);
            row.address = address;
            row.accelerator = accelerator;
            row.slots = cells.number("slots", slots, row.slots);
            row.weight = cells.number("weight", weight, row.weight);
            row.linkMbps = cells.number("link_mbps", link, row.linkMbps);
            row.state = state.empty() ? AdminState::Active
                                      : static_cast<AdminState>(cells.word("state", state, { "active", "draining" }));
            row.capabilities = cells.capabilities("capabilities", capabilities);
            table.endpoints.push_back(std::move(row));
        };
        reader.readRows(handle, name, dataCentre, kind, target, version, adapters, layers, address, accelerator, slots,
            weight, link, state, capabilities);
    }

    unsigned lineOf(const LineOfRow& lines, const std::string& row)
    {
        auto it = lines.find(row);
        return it == lines.end() ? 0 : it->second;
    }

    std::string cell(const std::string& text)
    {
        if (text.find_first_of(",\"") == std::string::npos)
            return text;
        std::string quoted = "\"";
        for (char c : text)
            quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
        return quoted + "\"";
    }

    std::string limitCell(uint32_t limit)
    {
        return limit ? std::to_string(limit) : std::string();
    }

    std::string capabilitiesCell(const Capabilities& capabilities)
    {
        std::vector<std::string> names;
        if (capabilities.fencing)
            names.emplace_back("fencing");
        if (capabilities.lookup)
            names.emplace_back("lookup");
        if (capabilities.dedup)
            names.emplace_back("dedup");
        return joinList(names, [](const std::string& name) { return name; });
    }

    std::string layersCell(const LayerRange& layers)
    {
        return layers.count() ? std::to_string(layers.first) + "-" + std::to_string(layers.end) : std::string();
    }

    std::string rowLine(const std::vector<std::string>& cells)
    {
        std::string line;
        for (size_t i = 0; i < cells.size(); ++i)
            line += (i ? "," : "") + cell(cells[i]);
        return line + "\n";
    }

} // namespace

std::string CellFault::toString() const
{
    std::string place = file;
    if (line)
        place += ":" + std::to_string(line);
    if (!column.empty())
        place += " [" + column + "]";
    return place + ": " + text;
}

std::optional<Table> TableCsv::parse(const CsvFiles& files)
{
    m_faults.clear();
    Table table;
    std::array<LineOfRow, 3> lines;
    readWorkspaces(files.workspaces, table, lines[0], m_faults);
    readRoutes(files.routes, table, lines[1], m_faults);
    readEndpoints(files.endpoints, table, lines[2], m_faults);
    if (!m_faults.empty())
        return std::nullopt;
    table.normalize();
    static constexpr std::array names { workspacesFile, routesFile, endpointsFile };
    for (const auto& it : checkTable(table)) {
        auto kind = static_cast<size_t>(it.kind);
        m_faults.push_back({ names[kind], lineOf(lines[kind], it.row), it.column, it.text });
    }
    if (!m_faults.empty())
        return std::nullopt;
    return table;
}

CsvFiles TableCsv::format(const Table& table)
{
    CsvFiles files;
    files.workspaces = "workspace,weight,requests_per_s,tokens_per_s,concurrency\n";
    for (const auto& it : table.workspaces) {
        files.workspaces += rowLine({ it.workspace.value(), std::to_string(it.weight), limitCell(it.requestsPerSecond),
            limitCell(it.tokensPerSecond), limitCell(it.concurrency) });
    }
    files.routes = "route,kind,workspaces,target,version,adapter,layers,deadline_ms,max_tokens,idempotent\n";
    for (const auto& it : table.routes) {
        files.routes += rowLine({ it.route.value(), it.kind == RouteKind::Model ? "model" : "service",
            joinList(it.workspaces, [](const WorkspaceId& id) { return id.value(); }), it.target, it.version,
            it.adapter, limitCell(it.layers), std::to_string(it.deadline.count()), std::to_string(it.maxTokens),
            it.idempotent ? "yes" : "no" });
    }
    files.endpoints = "endpoint,data_centre,kind,target,version,adapters,layers,address,accelerator,slots,weight,"
                      "link_mbps,state,capabilities\n";
    for (const auto& it : table.endpoints) {
        files.endpoints += rowLine({ it.endpoint.value(), it.dataCentre.value(),
            it.kind == EndpointKind::Engine ? "engine" : "service", it.target, it.version,
            joinList(it.adapters, [](const std::string& name) { return name; }), layersCell(it.layers), it.address,
            it.accelerator, std::to_string(it.slots), std::to_string(it.weight), std::to_string(it.linkMbps),
            it.state == AdminState::Active ? "active" : "draining", capabilitiesCell(it.capabilities) });
    }
    return files;
}

} // namespace jacinthspindle
