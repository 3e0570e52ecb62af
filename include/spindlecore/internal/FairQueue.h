// Requests that wait for a slot: one flow per workspace, with a lane for short and one for long work.

#pragma once

#include "spindlecore/Types.h"

#include <array>
#include <deque>
#include <map>
#include <vector>

namespace jacinthspindle::internal {

struct QueuedRequest {
    RequestId request;
    double hold = 0; // Expected seconds in a slot.
    bool isLong = false;
};

// Orders flows by the tokens that they were charged per weight (a virtual token counter). Inside a flow, long work has
// a guaranteed part of the tokens and short work goes first otherwise.
class FairQueue {
public:
    struct Flow {
        WorkspaceId workspace;
        double weight = 1;
        double served = 0; // Tokens charged per weight.
        std::array<double, 2> laneServed {}; // By lane: short, long.
        std::array<std::deque<QueuedRequest>, 2> lanes;
        std::array<double, 2> queuedHold {};

        bool isEmpty() const { return lanes[0].empty() && lanes[1].empty(); }
        // The lane that is next in turn, and the other one.
        std::array<size_t, 2> laneOrder() const;
    };

    void push(const WorkspaceId&, double weight, QueuedRequest);
    // Removes a request that is not necessarily the first; false when it is not queued.
    bool erase(const WorkspaceId&, const RequestId&);
    // Charges tokens that were dispatched; negative to correct an expectation.
    void charge(const WorkspaceId&, double weight, bool isLong, double tokens);

    // Flows with queued requests, the one with the least service first; at most limit.
    std::vector<Flow*> inOrder(size_t limit);
    // Seconds that a new request of the workspace would wait when slots of the pool are freed at this daemon.
    double expectedWait(const WorkspaceId&, bool isLong, double slots) const;
    // The same for a request that is already queued, with the given hold in front of it.
    double waitBehind(const Flow&, double holdAhead, double slots) const;

    size_t size() const { return m_size; }
    std::map<WorkspaceId, Flow>& flows() { return m_flows; }
    // Drops flows that hold no more than the common service level; bounds the memory.
    void prune();

private:
    Flow& flowOf(const WorkspaceId&, double weight);
    double queuedWeight() const;

    std::map<WorkspaceId, Flow> m_flows;
    double m_level = 0; // Service of the flow that was dispatched last; a new flow starts here.
    size_t m_size = 0;
};

} // namespace jacinthspindle::internal
