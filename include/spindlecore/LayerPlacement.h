// Chooses which layers of a model each engine holds. A pure function of what is known about the engines, so that a
// decision can be replayed and the next planner continues where the last one stopped.

#pragma once

#include "spindlecore/RoutingConfiguration.h"
#include "spindlecore/Types.h"

#include <set>
#include <vector>

namespace jacinthspindle {

// One engine as the planner sees it.
struct PlacedEngine {
    EndpointId endpoint;
    DataCentreId dataCentre;
    std::string accelerator; // A key of ModelLayout::kinds; engines of unknown kinds receive no layers.
    LayerRange layers; // Held or being loaded; empty after a start.
    bool isBusy = false; // An order is being carried out.
    bool isLeaving = false; // It leaves or is lost: its layers do not count, and it receives no new ones.
    double pace = 1; // Time that it takes, relative to its kind of accelerator.
};

// An engine is to hold these layers in place of those that it holds now.
struct PlacementOrder {
    EndpointId endpoint;
    LayerRange layers;
    bool operator==(const PlacementOrder&) const = default;
};

// What the planner may do in which data centre.
struct PlacementScope {
    std::set<DataCentreId> cutOff; // Receive no orders; their engines may all be back in a moment.
    // Their engines may give up layers, and then take no further order until the requests in these layers have ended.
    std::set<DataCentreId> settled;
};

// Returns the orders that bring the engines closer to whole copies of the model in each data centre whose memory
// holds one; more than one where memory allows, so that chains stay short. Engines without layers fill the gaps of
// their data centre first and then hold the layers with the least memory for requests. Where no such engine is left,
// the neighbours of a gap extend their ranges, as long as each keeps memory for requests, or an engine whose layers
// have other copies in the data centre moves into the gap. Where that leaves much less memory for requests than a cut
// of the model over all engines of the data centre, one data centre is cut anew: no chain passes through it while it
// misses layers. Engines of settled data centres give back layers that others hold as well where memory for requests is
// scarce. No order exceeds the memory of an engine, and only a cut gives up layers without another copy in the data
// centre.
std::vector<PlacementOrder> planPlacement(const ModelLayout&, const std::vector<PlacedEngine>&, const PlacementScope&);

// True when some data centre with engines misses a layer, counting layers that are being loaded.
bool hasGap(const ModelLayout&, const std::vector<PlacedEngine>&);

// Layers that the memory of a kind holds, with none left for requests; 0 for an unknown kind.
uint32_t layerCapacity(const ModelLayout&, const std::string& accelerator);

// Tokens that can be in flight at once: the sum over data centres of the least KV memory of any layer, in tokens.
// Chains across data centres can serve more; the figure is a lower bound for comparing placements.
double placementTokens(const ModelLayout&, const std::vector<PlacedEngine>&);

} // namespace jacinthspindle
