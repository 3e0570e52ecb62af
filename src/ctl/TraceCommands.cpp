// Commands over recorded traces: timeline and replay.

#include "ctl/Commands.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jacinthspindle {

namespace {

    constexpr const char* tracePrefix = "trace/";

    bool appendRecords(
        std::vector<TraceRecord>& records, const std::string& bytes, const std::string& source, Reason& reason)
    {
        auto decoded = decodeRecords(bytes, reason);
        if (!decoded) {
            reason.text = source + ": " + reason.text;
            return false;
        }
        records.insert(records.end(), decoded->begin(), decoded->end());
        return true;
    }

    std::string readText(const std::string& name)
    {
        std::ifstream file(name, std::ios::binary);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    bool appendFile(std::vector<TraceRecord>& records, const std::string& name, Reason& reason)
    {
        std::ifstream file(name, std::ios::binary);
        if (!file) {
            reason = { ResultCode::TraceMalformed, name + ": cannot be opened" };
            return false;
        }
        return appendRecords(records, readText(name), name, reason);
    }

    bool appendObjects(std::vector<TraceRecord>& records, const Options& options, Reason& reason)
    {
        HttpObjectStore objects(options.objectStore);
        auto names = objects.list(tracePrefix, options.timeout);
        if (!names) {
            reason = { ResultCode::PlatformUnavailable, "the object store cannot be read" };
            return false;
        }
        for (const auto& name : *names) {
            auto bytes = objects.get(name, options.timeout);
            if (!bytes) {
                reason = { ResultCode::PlatformUnavailable, name + " cannot be read" };
                return false;
            }
            if (!appendRecords(records, *bytes, name, reason))
                return false;
        }
        return true;
    }

    // Reads the records of all sources that the options name. A daemon that cannot be reached is reported and passed
    // over, since the object store holds what it has flushed.
    std::optional<std::vector<TraceRecord>> readRecords(const Options& options, Reason& reason)
    {
        if (options.files.empty() && options.objectStore.empty() && options.daemons.empty()) {
            reason = { ResultCode::UsageInvalid, "--files, --object-store or --daemons is missing" };
            return std::nullopt;
        }
        std::vector<TraceRecord> records;
        for (const auto& it : options.files) {
            if (!appendFile(records, it, reason))
                return std::nullopt;
        }
        if (!options.objectStore.empty() && !appendObjects(records, options, reason))
            return std::nullopt;
        for (const auto& it : options.daemons) {
            Reason unreachable;
            auto bytes = fetch(it, "GET", "/trace?after=0", options.timeout, unreachable);
            if (!bytes) {
                std::cerr << "not included: " << unreachable.text << "\n";
                continue;
            }
            if (!appendRecords(records, *bytes, it, reason))
                return std::nullopt;
        }
        return records;
    }

    std::string placeText(const TraceRecord& record)
    {
        return record.host.value() + "/" + std::to_string(record.incarnation) + "#" + std::to_string(record.sequence);
    }

    nlohmann::json recordJson(const TraceRecord& record)
    {
        return { { "logicalTime", record.logicalTime }, { "host", record.host.value() },
            { "incarnation", record.incarnation }, { "sequence", record.sequence },
            { "wallMs", record.wall.time_since_epoch().count() }, { "revision", record.tableRevision },
            { "request", record.request.value() }, { "subject", record.subject },
            { "kind", traceKindName(record.kind) }, { "text", describeRecord(record) } };
    }

    void printRecord(const TraceRecord& record)
    {
        std::cout << record.logicalTime << "  " << placeText(record) << "  r" << record.tableRevision << "  "
                  << (record.request.isEmpty() ? "-" : record.request.value()) << "  " << traceKindName(record.kind)
                  << ": " << describeRecord(record) << "\n";
    }

    ResultCode timeline(const Options& options, std::vector<TraceRecord> records)
    {
        TimelineFilter filter;
        if (!options.request.empty())
            filter.request = RequestId(options.request);
        filter.subject = options.subject;
        for (const auto& it : mergeTimeline(std::move(records), filter)) {
            if (options.json)
                std::cout << recordJson(it).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
            else
                printRecord(it);
        }
        return ResultCode::Ok;
    }

    void printReport(const Options& options, const ReplayReport& report)
    {
        if (options.json) {
            nlohmann::json object { { "processes", report.processes }, { "inputs", report.inputs },
                { "decisions", report.decisions }, { "gaps", report.gaps }, { "clean", !report.divergence } };
            if (report.divergence) {
                object["divergence"] = { { "host", report.divergence->host.value() },
                    { "sequence", report.divergence->sequence }, { "request", report.divergence->request.value() },
                    { "expected", report.divergence->expected }, { "actual", report.divergence->actual } };
            }
            for (const auto& it : report.outcomes)
                object["outcomes"].push_back(it.toString());
            std::cout << object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
            return;
        }
        for (const auto& it : report.outcomes)
            std::cout << it.toString() << "\n";
        std::cout << "replayed " << report.inputs << " inputs and " << report.decisions << " decisions of "
                  << report.processes << " processes, " << report.gaps << " ended at a gap\n";
    }

    ResultCode replay(const Options& options, const std::vector<TraceRecord>& records)
    {
        auto report = replayRecords(records);
        printReport(options, report);
        if (report.divergence) {
            const auto& it = *report.divergence;
            return fail(options,
                { ResultCode::ReplayDiverged,
                    it.host.value() + "/" + std::to_string(it.incarnation) + "#" + std::to_string(it.sequence)
                        + " request " + it.request.value() + ": trace has '" + it.expected + "', code decides '"
                        + it.actual + "'" });
        }
        if (!options.outcomes.empty()) {
            auto differences = compareOutcomes(report, readText(options.outcomes));
            for (const auto& it : differences)
                std::cerr << it << "\n";
            if (!differences.empty())
                return fail(options,
                    { ResultCode::ReplayDiverged,
                        std::to_string(differences.size()) + " outcomes differ from " + options.outcomes });
        }
        if (!report.inputs)
            return fail(options, { ResultCode::TraceIncomplete, "the records hold no input that can be replayed" });
        return ResultCode::Ok;
    }

} // namespace

ResultCode runTraceCommand(const Options& options)
{
    Reason reason;
    auto records = readRecords(options, reason);
    if (!records)
        return fail(options, reason);
    if (!options.out.empty()) {
        std::ofstream file(options.out, std::ios::binary);
        for (const auto& it : mergeTimeline(*records, {}))
            file << encodeRecord(it);
        if (!file.flush())
            return fail(options, { ResultCode::UsageInvalid, options.out + ": cannot be written" });
    }
    if (options.words.front() == "replay")
        return replay(options, *records);
    return timeline(options, std::move(*records));
}

} // namespace jacinthspindle
