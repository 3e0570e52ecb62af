// Weighted fair queueing between workspaces, and between short and long work inside each workspace.

#include "spindlecore/internal/FairQueue.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Part of a workspace's tokens that long work receives while short work is queued as well.
    constexpr double longLaneShare = 0.3;
    // Tokens per weight by which the service of a lane or flow may lag behind when it becomes busy again. This bounds
    // the credit that it accumulates while idle.
    constexpr double maxCredit = 2000;

    double laneWeight(size_t lane)
    {
        return lane ? longLaneShare : 1 - longLaneShare;
    }

} // namespace

std::array<size_t, 2> FairQueue::Flow::laneOrder() const
{
    if (laneServed[1] < laneServed[0])
        return { 1, 0 };
    return { 0, 1 };
}

FairQueue::Flow& FairQueue::findOrAddFlow(const WorkspaceId& workspace, double weight)
{
    auto [it, isNew] = m_flows.try_emplace(workspace);
    if (isNew) {
        it->second.workspace = workspace;
        it->second.served = m_virtualTime;
    }
    it->second.weight = std::max(1.0, weight);
    return it->second;
}

void FairQueue::push(const WorkspaceId& workspace, double weight, QueuedRequest request)
{
    auto& flow = findOrAddFlow(workspace, weight);
    if (flow.isEmpty())
        flow.served = std::max(flow.served, m_virtualTime - maxCredit);
    size_t lane = request.isLong;
    if (flow.lanes[lane].empty())
        flow.laneServed[lane] = std::max(flow.laneServed[lane], flow.laneServed[1 - lane] - maxCredit);
    flow.queuedSeconds[lane] += request.slotSeconds;
    flow.lanes[lane].push_back(std::move(request));
    ++m_size;
}

bool FairQueue::erase(const WorkspaceId& workspace, const RequestId& request)
{
    auto it = m_flows.find(workspace);
    if (it == m_flows.end())
        return false;
    for (size_t lane = 0; lane < 2; ++lane) {
        auto& queue = it->second.lanes[lane];
        auto found = std::find_if(
            queue.begin(), queue.end(), [&](const QueuedRequest& queued) { return queued.request == request; });
        if (found == queue.end())
            continue;
        it->second.queuedSeconds[lane] -= found->slotSeconds;
        queue.erase(found);
        --m_size;
        return true;
    }
    return false;
}

void FairQueue::charge(const WorkspaceId& workspace, double weight, bool isLong, double tokens)
{
    auto& flow = findOrAddFlow(workspace, weight);
    flow.served += tokens / flow.weight;
    flow.laneServed[isLong] += tokens / laneWeight(isLong);
}

std::vector<FairQueue::Flow*> FairQueue::leastServedFlows(size_t limit)
{
    std::vector<Flow*> flows;
    for (auto& it : m_flows) {
        if (!it.second.isEmpty())
            flows.push_back(&it.second);
    }
    auto count = std::min(limit, flows.size());
    std::partial_sort(flows.begin(), flows.begin() + static_cast<std::ptrdiff_t>(count), flows.end(),
        [](const Flow* a, const Flow* b) {
            return a->served != b->served ? a->served < b->served : a->workspace < b->workspace;
        });
    flows.resize(count);
    if (!flows.empty())
        m_virtualTime = std::max(m_virtualTime, flows.front()->served);
    return flows;
}

double FairQueue::queuedWeight() const
{
    double sum = 0;
    for (const auto& it : m_flows)
        sum += it.second.isEmpty() ? 0 : it.second.weight;
    return sum;
}

double FairQueue::expectedWaitBehind(const Flow& flow, double secondsAhead, double slots) const
{
    double total = std::max(flow.weight, queuedWeight());
    return secondsAhead * total / (flow.weight * std::max(1.0, slots));
}

double FairQueue::expectedWait(const WorkspaceId& workspace, bool isLong, double slots) const
{
    auto it = m_flows.find(workspace);
    if (it == m_flows.end() || it->second.isEmpty())
        return 0;
    // An empty lane leaves its share of the flow to the other lane.
    double share = laneWeight(isLong);
    double otherShare = it->second.lanes[1 - isLong].empty() ? 0 : 1 - share;
    double effectiveShare = share / (share + otherShare);
    return expectedWaitBehind(it->second, it->second.queuedSeconds[isLong] / effectiveShare, slots);
}

void FairQueue::removeIdleFlows()
{
    std::erase_if(m_flows, [&](const auto& it) { return it.second.isEmpty() && it.second.served <= m_virtualTime; });
}

} // namespace jacinthspindle::internal
