// Decides which layers of a model each engine holds. The result depends only on the arguments, so that a decision can
// be replayed and a new planner continues from the state that its predecessor left.

#pragma once

#include "spindlecore/RoutingConfiguration.h"
#include "spindlecore/Types.h"

#include <set>
#include <vector>

namespace jacinthspindle {

// State of one engine, as last reported to the planner.
struct PlacedEngine {
    EndpointId endpoint;
    DataCentreId dataCentre;
    std::string accelerator; // Key of ModelLayout::kinds; engines of unlisted kinds receive no layers.
    LayerRange layers; // Loaded or being loaded; empty after a restart.
    bool isBusy = false; // Carrying out a placement order.
    bool isLeaving = false; // Shutting down or lost: its layers do not count, and it receives no orders.
    double pace = 1; // Execution time relative to its kind of accelerator; 2 takes twice as long.
};

// Instructs an engine to replace its current layers by these.
struct PlacementOrder {
    EndpointId endpoint;
    LayerRange layers;
    bool operator==(const PlacementOrder&) const = default;
};

// Limits what the planner may do in each data centre.
struct PlacementConstraints {
    std::set<DataCentreId> cutOff; // Unreachable. They receive no orders, since all their engines may return shortly.
    // No engine joined or left recently. Only here may engines unload redundant layers, because an engine that unloads
    // layers accepts no further order until the requests that use them have ended.
    std::set<DataCentreId> settled;
};

// Returns the orders of one planning cycle. The goal is at least one complete copy of the model in each data centre
// with enough memory, and several copies where memory allows, so that chains stay short. A gap is a run of layers that
// no engine of a data centre holds. In each data centre that is not cut off:
//
// 1. Engines without layers fill gaps first, then replicate the layers with the least KV memory.
// 2. Remaining gaps are closed by the neighbouring engines, which extend their ranges as long as each keeps KV memory
//    for requests, or by an engine whose layers all have another copy in the data centre.
// 3. If a new partition of the model over all engines of the data centre leaves much more KV memory than step 2, the
//    data centre is repartitioned instead. This happens in one data centre at a time, since no chain can run through a
//    data centre that lacks layers.
// 4. Where KV memory is scarce, engines of settled data centres unload layers that other engines hold as well.
//
// No order exceeds the memory of an engine, and only a repartition removes the last copy of a layer from a data centre.
std::vector<PlacementOrder> planPlacement(
    const ModelLayout&, const std::vector<PlacedEngine>&, const PlacementConstraints&);

// True when a data centre with engines lacks a layer. Layers that are being loaded count as present.
bool hasGap(const ModelLayout&, const std::vector<PlacedEngine>&);

// Number of layers that fit into the memory of an accelerator kind with no KV memory left; 0 for an unknown kind.
uint32_t layerCapacity(const ModelLayout&, const std::string& accelerator);

// Lower bound of the tokens that can be in flight at once, for comparing placements: for each data centre the KV memory
// of the layer that has the least, in tokens, summed over the data centres. Chains across data centres can serve more.
double placementTokenCapacity(const ModelLayout&, const std::vector<PlacedEngine>&);

} // namespace jacinthspindle
