// Fuzz target: CSV files and encoded changes of the table. A table that parses has no fault and survives a round trip.

#include <cstdlib>
#include <spindleadapters/spindleadapters.h>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace jacinthspindle;
    std::string text(reinterpret_cast<const char*>(data), size);
    TableCsv csv;
    auto table = csv.parse({ "workspace,weight,requests_per_s,tokens_per_s,concurrency\n" + text,
        "route,kind,workspaces,target,version,adapter,layers,deadline_ms,max_tokens,idempotent\n",
        "endpoint,data_centre,kind,target,version,adapters,layers,address,accelerator,slots,weight,link_mbps,state,"
        "capabilities\n"
            + text });
    if (table) {
        TableCsv again;
        auto copy = again.parse(TableCsv::format(*table));
        if (!copy || *copy != *table)
            std::abort();
    }
    Reason reason;
    if (auto delta = decodeDelta(text, reason))
        applyDelta(Table {}, *delta, reason);
    decodeTable(text, reason);
    decodeHead(text, reason);
    return 0;
}
