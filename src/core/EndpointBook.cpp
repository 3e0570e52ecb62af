// Life, load and identity of endpoints.

#include "spindlecore/internal/EndpointBook.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Bounds the memory for endpoints that a source names and the table does not.
    constexpr size_t maxUnknown = 4096;
    constexpr size_t maxChanges = 256;
    // A report must not make an engine look so fast that it draws all requests.
    constexpr double leastPace = 0.1;

} // namespace

const EndpointIndex* EndpointBook::find(const EndpointId& id) const
{
    auto it = m_index.find(id);
    return it == m_index.end() ? nullptr : &it->second;
}

uint32_t EndpointBook::kindOf(const std::string& accelerator)
{
    auto it = std::find(m_kinds.begin(), m_kinds.end(), accelerator);
    if (it == m_kinds.end())
        it = m_kinds.insert(it, accelerator);
    return static_cast<uint32_t>(it - m_kinds.begin());
}

EndpointIndex EndpointBook::freeEntry()
{
    if (!m_free.empty()) {
        auto index = m_free.back();
        m_free.pop_back();
        return index;
    }
    m_entries.emplace_back();
    return static_cast<EndpointIndex>(m_entries.size() - 1);
}

void EndpointBook::adopt(const Table& table)
{
    ++m_generation;
    for (auto& it : m_entries)
        it.isInTable = false;
    for (const auto& row : table.endpoints) {
        auto found = m_index.find(row.endpoint);
        if (found != m_index.end()) {
            auto& entry = m_entries[found->second];
            entry.row = row;
            entry.kind = kindOf(row.accelerator);
            entry.isInTable = true;
            continue;
        }
        EndpointIndex index = freeEntry();
        auto& entry = m_entries[index];
        entry = {};
        entry.row = row;
        entry.hash = sha256Prefix64(row.endpoint.value());
        entry.kind = kindOf(row.accelerator);
        entry.isInTable = true;
        entry.limit = row.slots;
        auto unknown = m_unknown.find(row.endpoint);
        if (unknown != m_unknown.end()) {
            entry.seen = unknown->second;
            m_unknown.erase(unknown);
        }
        m_index.emplace(row.endpoint, index);
    }
    for (EndpointIndex i = 0; i < m_entries.size(); ++i) {
        auto& it = m_entries[i];
        if (it.isInTable || it.own || it.row.endpoint.isEmpty())
            continue;
        // A leaving endpoint that returns to the table is still leaving until its source says otherwise.
        bool isServing = std::all_of(
            it.seen.begin(), it.seen.end(), [](EndpointLife life) { return life == EndpointLife::Serving; });
        if (!isServing && m_unknown.size() < maxUnknown)
            m_unknown.emplace(it.row.endpoint, it.seen);
        m_index.erase(it.row.endpoint);
        it = {};
        m_free.push_back(i);
    }
}

void EndpointBook::see(const EndpointStateSeen& input)
{
    auto source = static_cast<size_t>(input.source);
    if (source >= std::tuple_size_v<decltype(EndpointEntry::seen)>)
        return;
    const auto* index = find(input.endpoint);
    if (index) {
        auto& seen = m_entries[*index].seen[source];
        m_generation += seen != input.life;
        seen = input.life;
        return;
    }
    if (m_unknown.size() >= maxUnknown && !m_unknown.contains(input.endpoint))
        return;
    auto& seen = m_unknown[input.endpoint];
    seen[source] = input.life;
    if (std::all_of(seen.begin(), seen.end(), [](EndpointLife life) { return life == EndpointLife::Serving; }))
        m_unknown.erase(input.endpoint);
}

void EndpointBook::report(Instant now, const LoadReported& input)
{
    const auto* index = find(input.endpoint);
    if (!index)
        return;
    auto& entry = m_entries[*index];
    auto measuredAt = now - std::max(Duration::zero(), input.age);
    if (entry.hasReport && measuredAt < entry.measuredAt)
        return;
    entry.hasReport = true;
    entry.measuredAt = measuredAt;
    entry.reported = input.running + input.waiting;
    int64_t own = entry.own;
    while (!entry.changes.empty() && entry.changes.front().first <= measuredAt)
        entry.changes.pop_front();
    for (const auto& it : entry.changes)
        own -= it.second;
    entry.ownAtReport = static_cast<uint32_t>(std::max<int64_t>(0, own));
}

void EndpointBook::setPace(const EndpointId& id, double pace)
{
    if (const auto* index = find(id))
        m_entries[*index].pace = std::max(leastPace, pace);
}

void EndpointBook::changeOwn(Instant now, EndpointIndex index, int32_t change)
{
    auto& entry = m_entries[index];
    entry.own = static_cast<uint32_t>(std::max<int64_t>(0, int64_t(entry.own) + change));
    entry.changes.emplace_back(now, change);
    if (entry.changes.size() > maxChanges)
        entry.changes.pop_front();
}

void EndpointBook::markFull(Instant now, EndpointIndex index)
{
    auto& entry = m_entries[index];
    entry.hasReport = true;
    entry.measuredAt = now;
    entry.reported = std::max(entry.reported, entry.row.slots + entry.own);
    entry.ownAtReport = entry.own;
    entry.limit = std::max(1.0, entry.limit / 2);
}

bool EndpointBook::hasFreshReport(Instant now, const EndpointEntry& entry) const
{
    return entry.hasReport && now - entry.measuredAt <= maxReportAge;
}

double EndpointBook::outstanding(Instant now, const EndpointEntry& entry) const
{
    bool isShared = entry.row.kind == EndpointKind::Engine;
    if (!hasFreshReport(now, entry))
        return static_cast<double>(entry.own) * (isShared ? m_peers : 1);
    uint32_t others = entry.reported > entry.ownAtReport ? entry.reported - entry.ownAtReport : 0;
    // The other daemons are taken to have added as many attempts since the report as this one.
    uint32_t added = isShared && entry.own > entry.ownAtReport ? entry.own - entry.ownAtReport : 0;
    return static_cast<double>(others) + entry.own + static_cast<double>(added) * (m_peers - 1);
}

double EndpointBook::room(Instant now, const EndpointEntry& entry) const
{
    double limit = hasFreshReport(now, entry) ? entry.row.slots : std::min<double>(entry.limit, entry.row.slots);
    return std::max(1.0, limit) - outstanding(now, entry);
}

} // namespace jacinthspindle::internal
