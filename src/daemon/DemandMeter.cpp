// Counting of demand from the inputs and decisions of the core.

#include "daemon/DemandMeter.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::seconds window { 1 };

} // namespace

void DemandMeter::countTokens(const RequestId& id, uint32_t position)
{
    auto it = m_requests.find(id);
    if (it == m_requests.end() || position <= it->second.position)
        return;
    m_usage[it->second.workspace].tokens += position - it->second.position;
    it->second.position = position;
}

void DemandMeter::end(const RequestId& id)
{
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    auto& usage = m_usage[it->second.workspace];
    usage.running -= usage.running ? 1 : 0;
    m_requests.erase(it);
}

void DemandMeter::observe(Instant, const CoreInput& input, const std::vector<CoreDecision>& decisions)
{
    const auto* arrival = std::get_if<RequestArrived>(&input);
    if (arrival) {
        m_requests[arrival->request] = { arrival->workspace, arrival->firstPosition };
        auto& usage = m_usage[arrival->workspace];
        ++usage.arrivals;
        ++usage.running;
    } else if (const auto* progress = std::get_if<TokensProgressed>(&input))
        countTokens(progress->request, progress->position);
    else if (const auto* finished = std::get_if<RequestFinished>(&input)) {
        countTokens(finished->request, finished->tokens);
        end(finished->request);
    } else if (const auto* gone = std::get_if<CallerGone>(&input))
        end(gone->request);
    for (const auto& it : decisions) {
        if (const auto* abandon = std::get_if<Abandon>(&it))
            end(abandon->request);
        const auto* refuse = std::get_if<Refuse>(&it);
        if (!refuse)
            continue;
        if (refuse->code == ResultCode::WorkspaceUnknown && arrival)
            m_usage.erase(arrival->workspace);
        if (refuse->code == ResultCode::LimitExceeded && arrival) {
            ++m_usage[arrival->workspace].refusals;
            m_usage[arrival->workspace].refusedTokens += arrival->maxTokens;
        }
        end(refuse->request);
    }
}

void DemandMeter::collect(Instant now, std::vector<DemandSeen>& demands)
{
    if (now - m_windowStart < window)
        return;
    double seconds = std::chrono::duration<double>(now - m_windowStart).count();
    bool isFirst = m_windowStart == Instant {};
    m_windowStart = now;
    for (auto it = m_usage.begin(); it != m_usage.end();) {
        auto& usage = it->second;
        bool isBusy = usage.arrivals || usage.tokens || usage.running;
        if (!isFirst && (isBusy || usage.wasBusy)) {
            demands.push_back({ it->first, usage.arrivals / seconds,
                static_cast<double>(usage.tokens + usage.refusedTokens) / seconds,
                static_cast<double>(usage.running + usage.refusals) });
        }
        if (!isBusy) {
            it = m_usage.erase(it);
            continue;
        }
        usage = { 0, 0, 0, 0, usage.running, true };
        ++it;
    }
}

} // namespace jacinthspindle::daemon
