// Weighted fair queue of the requests that wait for a slot. Each workspace has a flow with two lanes, one for short and
// one for long work.

#pragma once

#include "spindlecore/Types.h"

#include <array>
#include <deque>
#include <map>
#include <vector>

namespace jacinthspindle::internal {

struct QueuedRequest {
    RequestId request;
    double slotSeconds = 0; // Expected time in a slot.
    bool isLong = false;
};

// Orders flows by charged tokens divided by weight (a virtual token counter). Inside a flow, long work is guaranteed a
// fixed part of the tokens; apart from that, short work goes first.
class FairQueue {
public:
    struct Flow {
        WorkspaceId workspace;
        double weight = 1;
        double served = 0; // Charged tokens divided by the weight.
        std::array<double, 2> laneServed {}; // Charged tokens divided by the lane's share; by lane: short, long.
        std::array<std::deque<QueuedRequest>, 2> lanes;
        std::array<double, 2> queuedSeconds {}; // Sum of the expected slot seconds of the queued requests, by lane.

        bool isEmpty() const { return lanes[0].empty() && lanes[1].empty(); }
        // Returns the lane to serve next, then the other lane.
        std::array<size_t, 2> laneOrder() const;
    };

    void push(const WorkspaceId&, double weight, QueuedRequest);
    // Removes a request from any position of its lane. Returns false when it is not queued.
    bool erase(const WorkspaceId&, const RequestId&);
    // Charges dispatched tokens to a flow and its lane. A negative number refunds an overestimate.
    void charge(const WorkspaceId&, double weight, bool isLong, double tokens);

    // Returns at most limit flows with queued requests, in ascending order of the service they received.
    std::vector<Flow*> leastServedFlows(size_t limit);
    // Estimates the queueing delay, in seconds, of a new request of the workspace. slots: number of the pool's slots
    // that this daemon's own attempts occupy and will free.
    double expectedWait(const WorkspaceId&, bool isLong, double slots) const;
    // The same for a queued request. secondsAhead: expected slot seconds of the requests ahead of it in its flow.
    double expectedWaitBehind(const Flow&, double secondsAhead, double slots) const;

    size_t size() const { return m_size; }
    std::map<WorkspaceId, Flow>& flows() { return m_flows; }
    // Removes empty flows that have received no more service than m_virtualTime, to bound the memory.
    void removeIdleFlows();

private:
    // Returns the workspace's flow, adding it when it is new, and updates its weight.
    Flow& findOrAddFlow(const WorkspaceId&, double weight);
    // Sum of the weights of all flows with queued requests.
    double queuedWeight() const;

    std::map<WorkspaceId, Flow> m_flows;
    // Highest Flow::served of any flow that was first in the order. New flows start with this value.
    double m_virtualTime = 0;
    size_t m_size = 0;
};

} // namespace jacinthspindle::internal
