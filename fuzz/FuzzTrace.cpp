// Fuzz target: trace files. Whatever decodes must encode to records that decode to the same values, and a replay of
// them must end.

#include <cstdlib>
#include <spindleadapters/spindleadapters.h>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace jacinthspindle;
    Reason reason;
    auto records = decodeRecords({ reinterpret_cast<const char*>(data), size }, reason);
    if (!records)
        return 0;
    std::string bytes;
    for (const auto& it : *records) {
        bytes += encodeRecord(it);
        describeRecord(it);
    }
    auto again = decodeRecords(bytes, reason);
    if (!again || *again != *records)
        std::abort();
    replayRecords(*records);
    return 0;
}
