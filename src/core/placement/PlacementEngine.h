// Engines as the planner works on them, and the memory for requests beside their layers.

#pragma once

#include "spindlecore/LayerPlacement.h"

#include <algorithm>

namespace jacinthspindle::placement {

struct Engine {
    const PlacedEngine* known = nullptr;
    LayerRange layers; // As known, then as ordered.
    double memoryMb = 0; // 0 for an unknown kind.
    uint32_t usual = 0; // Layers of an engine that is placed for good; leaves memory for requests.
    uint32_t extended = 0; // Layers of an engine that closes a gap; leaves memory for a few requests.
    bool isOrdered = false;

    bool isEmpty() const { return !layers.count() && !known->isBusy && !known->isLeaving; }
    // KV memory in tokens beside n layers. A slow engine keeps requests for longer in the same memory.
    double tokensBeside(const ModelLayout& model, uint32_t n) const
    {
        return model.tokensBeside({ memoryMb }, n) / std::max(1.0, known->pace);
    }
    // Too slow to be the only one that holds a layer.
    bool isSlow() const { return known->pace >= slowPace; }
    bool covers() const { return layers.count() && !known->isLeaving; }
    bool mayBeOrdered() const { return !known->isBusy && !known->isLeaving && !isOrdered; }
};

inline void order(Engine& engine, LayerRange layers)
{
    engine.layers = layers;
    engine.isOrdered = true;
}

// KV memory of each layer in tokens, summed over the engines that hold it; 0 for a layer without a copy.
std::vector<double> tokensPerLayer(const ModelLayout&, const std::vector<Engine*>&);

// Tokens that can be in flight through all layers; 0 when a layer is missing.
double tokensInFlight(const ModelLayout&, const std::vector<Engine*>&);

// Cuts as many whole copies of the model as serve the most requests over the engines, in their order: those that memory
// and the slots of the heads allow at once, over the time of a chain of that many stages. Within a copy, the stage with
// the least KV memory has as much of it as possible. Returns false, and orders nothing, when their memory holds no
// copy.
bool cutMostCopies(const ModelLayout&, const std::vector<Engine*>&);

} // namespace jacinthspindle::placement
