// Merging of trace records in causal order.

#include "spindleadapters/Timeline.h"

#include <algorithm>
#include <tuple>

namespace jacinthspindle {

namespace {

    auto placeOf(const TraceRecord& record)
    {
        return std::tie(record.logicalTime, record.host, record.incarnation, record.sequence);
    }

} // namespace

std::vector<TraceRecord> mergeTimeline(std::vector<TraceRecord> records, const TimelineFilter& filter)
{
    std::erase_if(records, [&](const TraceRecord& it) {
        return (filter.request && it.request != *filter.request)
            || (!filter.subject.empty() && it.subject != filter.subject);
    });
    std::sort(records.begin(), records.end(),
        [](const TraceRecord& a, const TraceRecord& b) { return placeOf(a) < placeOf(b); });
    auto last = std::unique(records.begin(), records.end(), [](const TraceRecord& a, const TraceRecord& b) {
        return a.host == b.host && a.incarnation == b.incarnation && a.sequence == b.sequence;
    });
    records.erase(last, records.end());
    return records;
}

} // namespace jacinthspindle
