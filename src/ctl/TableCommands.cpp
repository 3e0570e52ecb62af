// Commands over the table: check, diff, apply, show, history and revert.

#include "ctl/Commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>

namespace jacinthspindle {

namespace {

    // Written next to the CSV files: the revision that they were made from.
    constexpr const char* revisionFile = "table.revision";

    std::string readFile(const std::filesystem::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    bool writeFile(const std::filesystem::path& path, const std::string& text)
    {
        std::ofstream file(path, std::ios::binary);
        file << text;
        return static_cast<bool>(file.flush());
    }

    std::string newChangeId()
    {
        std::random_device device;
        std::string id;
        for (int i = 0; i < 4; ++i)
            id += std::to_string(device()) + (i < 3 ? "-" : "");
        return id;
    }

    nlohmann::json rowNames(const TableDelta& delta)
    {
        auto changed = nlohmann::json::array();
        for (const auto& it : delta.workspaces)
            changed.push_back("workspace " + it.workspace.value());
        for (const auto& it : delta.routes)
            changed.push_back("route " + it.route.value());
        for (const auto& it : delta.endpoints)
            changed.push_back("endpoint " + it.endpoint.value());
        auto removed = nlohmann::json::array();
        for (const auto& it : delta.removedWorkspaces)
            removed.push_back("workspace " + it.value());
        for (const auto& it : delta.removedRoutes)
            removed.push_back("route " + it.value());
        for (const auto& it : delta.removedEndpoints)
            removed.push_back("endpoint " + it.value());
        return { { "changed", changed }, { "removed", removed } };
    }

    void printRows(const TableDelta& delta)
    {
        auto names = rowNames(delta);
        for (const auto& it : names["changed"])
            std::cout << "  ~ " << it.get<std::string>() << "\n";
        for (const auto& it : names["removed"])
            std::cout << "  - " << it.get<std::string>() << "\n";
    }

    nlohmann::json deltaJson(const TableDelta& delta)
    {
        auto object = rowNames(delta);
        object["revision"] = delta.revision();
        object["changeId"] = delta.changeId;
        object["author"] = delta.author;
        return object;
    }

    class TableCommand {
    public:
        explicit TableCommand(const Options& options)
            : m_options(options)
            , m_tables(options.tableService)
            , m_objects(options.objectStore.empty() ? options.tableService : options.objectStore)
            , m_store(m_tables, m_objects, options.timeout)
        {
        }

        ResultCode check() { return wanted() ? succeed({ { "faults", 0 } }, "no faults") : ResultCode::TableInvalid; }

        ResultCode diff()
        {
            auto table = wanted();
            if (!table)
                return ResultCode::TableInvalid;
            auto last = m_store.load();
            if (!last)
                return fail(m_options, m_store.lastReason());
            auto delta = diffTables(*last, *table);
            if (!m_options.json)
                printRows(delta);
            return succeed(rowNames(delta), "against revision " + std::to_string(last->revision));
        }

        ResultCode apply()
        {
            auto table = wanted();
            if (!table)
                return ResultCode::TableInvalid;
            auto revision = baseRevision();
            if (!revision) {
                return fail(m_options,
                    { ResultCode::UsageInvalid,
                        "--base is missing and " + std::string(revisionFile) + " is not in --dir" });
            }
            auto base = m_store.load(*revision);
            if (!base)
                return fail(m_options, m_store.lastReason());
            return commit(*base, *table);
        }

        ResultCode show()
        {
            auto table = m_options.revision ? m_store.load(*m_options.revision) : m_store.load();
            if (!table)
                return fail(m_options, m_store.lastReason());
            std::error_code ec;
            std::filesystem::create_directories(m_options.directory, ec);
            auto files = TableCsv::format(*table);
            bool isWritten = writeFile(path("workspaces.csv"), files.workspaces)
                && writeFile(path("routes.csv"), files.routes) && writeFile(path("endpoints.csv"), files.endpoints)
                && writeRevision(table->revision);
            if (!isWritten)
                return fail(m_options, { ResultCode::UsageInvalid, m_options.directory + ": cannot be written" });
            return succeed({ { "revision", table->revision } },
                "revision " + std::to_string(table->revision) + " written to " + m_options.directory);
        }

        ResultCode history()
        {
            constexpr uint32_t pageRows = 256;
            uint64_t after = 0;
            for (;;) {
                auto deltas = m_store.changes(after, pageRows);
                if (!deltas)
                    return fail(m_options, m_store.lastReason());
                if (deltas->empty())
                    return ResultCode::Ok;
                for (const auto& it : *deltas)
                    printChange(it);
                after = deltas->back().revision();
            }
        }

        ResultCode revert()
        {
            if (!m_options.revision)
                return fail(m_options, { ResultCode::UsageInvalid, "--revision is missing" });
            auto old = m_store.load(*m_options.revision);
            auto last = old ? m_store.load() : std::nullopt;
            if (!old || !last)
                return fail(m_options, m_store.lastReason());
            return commit(*last, *old);
        }

    private:
        std::filesystem::path path(const char* name) const { return std::filesystem::path(m_options.directory) / name; }

        // Reads and checks the CSV files; prints the faults.
        std::optional<Table> wanted()
        {
            TableCsv csv;
            auto table = csv.parse(
                { readFile(path("workspaces.csv")), readFile(path("routes.csv")), readFile(path("endpoints.csv")) });
            for (const auto& it : csv.faults()) {
                if (m_options.json) {
                    nlohmann::json object { { "file", it.file }, { "line", it.line }, { "column", it.column },
                        { "text", it.text } };
                    std::cout << object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
                } else
                    std::cerr << it.toString() << "\n";
            }
            return table;
        }

        std::optional<uint64_t> baseRevision() const
        {
            if (m_options.base)
                return m_options.base;
            std::ifstream file(path(revisionFile));
            uint64_t revision = 0;
            if (file >> revision)
                return revision;
            return std::nullopt;
        }

        bool writeRevision(uint64_t revision) const
        {
            return writeFile(path(revisionFile), std::to_string(revision) + "\n");
        }

        ResultCode commit(const Table& base, const Table& table)
        {
            auto changeId = m_options.changeId.empty() ? newChangeId() : m_options.changeId;
            auto answer = m_store.apply(base, table, m_options.author, changeId);
            switch (answer.outcome) {
            case ApplyOutcome::Accepted:
                writeRevision(answer.revision);
                if (auto accepted = m_store.load(answer.revision))
                    m_store.saveSnapshot(*accepted);
                return succeed({ { "revision", answer.revision }, { "changeId", changeId } },
                    "accepted as revision " + std::to_string(answer.revision) + ", change " + changeId);
            case ApplyOutcome::NothingChanged:
                return succeed({ { "revision", answer.revision } }, "nothing to change");
            case ApplyOutcome::Conflict:
                printConflict(base, table, answer);
                break;
            case ApplyOutcome::Invalid:
            case ApplyOutcome::Unknown:
            case ApplyOutcome::Unavailable:
                break;
            }
            return fail(m_options, m_store.lastReason());
        }

        // Shows both sides: what was accepted since the base, and what this change would have done.
        void printConflict(const Table& base, const Table& table, const ApplyAnswer& answer) const
        {
            auto own = diffTables(base, table);
            if (m_options.json) {
                nlohmann::json object { { "base", base.revision }, { "yours", rowNames(own) } };
                for (const auto& it : answer.newer)
                    object["accepted"].push_back(deltaJson(it));
                std::cout << object.dump() << "\n";
                return;
            }
            std::cout << "yours, on base " << base.revision << ":\n";
            printRows(own);
            for (const auto& it : answer.newer) {
                std::cout << "accepted since, revision " << it.revision() << " by " << it.author << ":\n";
                printRows(it);
            }
        }

        void printChange(const TableDelta& delta) const
        {
            if (m_options.json) {
                std::cout << deltaJson(delta).dump() << "\n";
                return;
            }
            std::cout << "revision " << delta.revision() << " by " << delta.author << ", change " << delta.changeId
                      << "\n";
            printRows(delta);
        }

        ResultCode succeed(const nlohmann::json& object, const std::string& text) const
        {
            std::cout << (m_options.json ? object.dump() : text) << "\n";
            return ResultCode::Ok;
        }

        const Options& m_options;
        HttpTableService m_tables;
        HttpObjectStore m_objects;
        TableStore m_store;
    };

} // namespace

ResultCode runTableCommand(const Options& options)
{
    auto command = options.words.size() == 2 ? options.words[1] : std::string();
    if (command != "check" && options.tableService.empty())
        return fail(options, { ResultCode::UsageInvalid, "--table-service is missing" });
    TableCommand table(options);
    if (command == "check")
        return table.check();
    if (command == "diff")
        return table.diff();
    if (command == "apply")
        return table.apply();
    if (command == "show")
        return table.show();
    if (command == "history")
        return table.history();
    if (command == "revert")
        return table.revert();
    return fail(options, { ResultCode::UsageInvalid, "unknown table command '" + command + "'; see --help" });
}

} // namespace jacinthspindle
