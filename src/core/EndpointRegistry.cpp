// Tracks the state and load of endpoints and assigns their indices.

#include "spindlecore/internal/EndpointRegistry.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Bounds the memory for endpoints that a source reports and the table does not list.
    constexpr size_t maxStatesOutsideTable = 4096;
    constexpr size_t maxOwnChanges = 256; // Per endpoint.
    // Lower bound of the reported pace: no report can make an engine look so fast that it attracts all requests.
    constexpr double minPace = 0.1;

} // namespace

const EndpointIndex* EndpointRegistry::find(const EndpointId& id) const
{
    auto it = m_index.find(id);
    return it == m_index.end() ? nullptr : &it->second;
}

uint32_t EndpointRegistry::findOrAddKind(const std::string& accelerator)
{
    auto it = std::find(m_kinds.begin(), m_kinds.end(), accelerator);
    if (it == m_kinds.end())
        it = m_kinds.insert(it, accelerator);
    return static_cast<uint32_t>(it - m_kinds.begin());
}

EndpointIndex EndpointRegistry::allocateEntry()
{
    if (!m_freeEntries.empty()) {
        auto index = m_freeEntries.back();
        m_freeEntries.pop_back();
        return index;
    }
    m_entries.emplace_back();
    return static_cast<EndpointIndex>(m_entries.size() - 1);
}

void EndpointRegistry::adopt(const Table& table)
{
    ++m_generation;
    for (auto& it : m_entries)
        it.isInTable = false;
    for (const auto& row : table.endpoints) {
        auto existing = m_index.find(row.endpoint);
        if (existing != m_index.end()) {
            auto& entry = m_entries[existing->second];
            entry.row = row;
            entry.kind = findOrAddKind(row.accelerator);
            entry.isInTable = true;
            continue;
        }
        EndpointIndex index = allocateEntry();
        auto& entry = m_entries[index];
        entry = {};
        entry.row = row;
        entry.hash = sha256Prefix64(row.endpoint.value());
        entry.kind = findOrAddKind(row.accelerator);
        entry.isInTable = true;
        entry.ownAttemptLimit = row.slots;
        auto states = m_statesOutsideTable.find(row.endpoint);
        if (states != m_statesOutsideTable.end()) {
            entry.stateBySource = states->second;
            m_statesOutsideTable.erase(states);
        }
        m_index.emplace(row.endpoint, index);
    }
    for (EndpointIndex i = 0; i < m_entries.size(); ++i) {
        auto& it = m_entries[i];
        if (it.isInTable || it.ownAttempts || it.row.endpoint.isEmpty())
            continue;
        // An endpoint that is leaving or down stays so when its row returns, until the same source reports a change.
        bool isServing = std::all_of(it.stateBySource.begin(), it.stateBySource.end(),
            [](EndpointAvailability availability) { return availability == EndpointAvailability::Serving; });
        if (!isServing && m_statesOutsideTable.size() < maxStatesOutsideTable)
            m_statesOutsideTable.emplace(it.row.endpoint, it.stateBySource);
        m_index.erase(it.row.endpoint);
        it = {};
        m_freeEntries.push_back(i);
    }
}

void EndpointRegistry::updateState(const EndpointStateReported& input)
{
    auto source = static_cast<size_t>(input.source);
    if (source >= std::tuple_size_v<decltype(EndpointEntry::stateBySource)>)
        return;
    const auto* index = find(input.endpoint);
    if (index) {
        auto& state = m_entries[*index].stateBySource[source];
        m_generation += state != input.availability;
        state = input.availability;
        return;
    }
    if (m_statesOutsideTable.size() >= maxStatesOutsideTable && !m_statesOutsideTable.contains(input.endpoint))
        return;
    auto& states = m_statesOutsideTable[input.endpoint];
    states[source] = input.availability;
    if (std::all_of(states.begin(), states.end(),
            [](EndpointAvailability availability) { return availability == EndpointAvailability::Serving; }))
        m_statesOutsideTable.erase(input.endpoint);
}

void EndpointRegistry::applyLoadReport(Instant now, const LoadReported& input)
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
    entry.reportedAttempts = input.running + input.waiting;
    int64_t ownAttempts = entry.ownAttempts;
    while (!entry.ownChanges.empty() && entry.ownChanges.front().first <= measuredAt)
        entry.ownChanges.pop_front();
    for (const auto& it : entry.ownChanges)
        ownAttempts -= it.second;
    entry.ownAttemptsAtReport = static_cast<uint32_t>(std::max<int64_t>(0, ownAttempts));
}

void EndpointRegistry::setPace(const EndpointId& id, double pace)
{
    if (const auto* index = find(id))
        m_entries[*index].pace = std::max(minPace, pace);
}

void EndpointRegistry::adjustOwnAttempts(Instant now, EndpointIndex index, int32_t change)
{
    auto& entry = m_entries[index];
    entry.ownAttempts = static_cast<uint32_t>(std::max<int64_t>(0, int64_t(entry.ownAttempts) + change));
    entry.ownChanges.emplace_back(now, change);
    if (entry.ownChanges.size() > maxOwnChanges)
        entry.ownChanges.pop_front();
}

void EndpointRegistry::markFull(Instant now, EndpointIndex index)
{
    auto& entry = m_entries[index];
    entry.hasReport = true;
    entry.measuredAt = now;
    entry.reportedAttempts = std::max(entry.reportedAttempts, entry.row.slots + entry.ownAttempts);
    entry.ownAttemptsAtReport = entry.ownAttempts;
    entry.ownAttemptLimit = std::max(1.0, entry.ownAttemptLimit / 2);
}

bool EndpointRegistry::hasFreshReport(Instant now, const EndpointEntry& entry) const
{
    return entry.hasReport && now - entry.measuredAt <= maxReportAge;
}

double EndpointRegistry::outstanding(Instant now, const EndpointEntry& entry) const
{
    bool isSharedWithDaemons = entry.row.kind == EndpointKind::Engine;
    if (!hasFreshReport(now, entry))
        return static_cast<double>(entry.ownAttempts) * (isSharedWithDaemons ? m_daemonCount : 1);
    uint32_t othersAtReport
        = entry.reportedAttempts > entry.ownAttemptsAtReport ? entry.reportedAttempts - entry.ownAttemptsAtReport : 0;
    // Each other daemon is assumed to have added as many attempts since the report as this one.
    uint32_t ownAdded = isSharedWithDaemons && entry.ownAttempts > entry.ownAttemptsAtReport
        ? entry.ownAttempts - entry.ownAttemptsAtReport
        : 0;
    return static_cast<double>(othersAtReport) + entry.ownAttempts
        + static_cast<double>(ownAdded) * (m_daemonCount - 1);
}

double EndpointRegistry::freeSlots(Instant now, const EndpointEntry& entry) const
{
    double limit
        = hasFreshReport(now, entry) ? entry.row.slots : std::min<double>(entry.ownAttemptLimit, entry.row.slots);
    return std::max(1.0, limit) - outstanding(now, entry);
}

} // namespace jacinthspindle::internal
