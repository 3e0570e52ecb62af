// Working state of the engines during one planning cycle, and their KV memory.

#pragma once

#include "spindlecore/LayerPlacement.h"

#include <algorithm>

namespace jacinthspindle::placement {

struct Engine {
    const PlacedEngine* state = nullptr; // As reported.
    LayerRange layers; // As reported, then as assigned in this cycle.
    double memoryMb = 0; // 0 for an unknown kind of accelerator.
    uint32_t regularLayers = 0; // Number of layers that leaves the regular share of memory for requests.
    uint32_t maxLayers = 0; // Upper bound when copies are split or gaps closed; leaves KV memory for few requests.
    bool isOrdered = false; // Layers were assigned in this cycle.

    bool isUnassigned() const { return !layers.count() && !state->isBusy && !state->isLeaving; }
    // KV memory in tokens that remains with n layers loaded. It is divided by the pace of a slow engine, because
    // requests occupy its memory for longer.
    double kvTokensBeside(const ModelLayout& model, uint32_t n) const
    {
        return model.kvCapacityTokens({ memoryMb }, n) / std::max(1.0, state->pace);
    }
    // Too slow to hold the only copy of a layer.
    bool isSlow() const { return state->pace >= slowPace; }
    bool isServing() const { return layers.count() && !state->isLeaving; }
    bool canBeOrdered() const { return !state->isBusy && !state->isLeaving && !isOrdered; }
};

inline void assignLayers(Engine& engine, LayerRange layers)
{
    engine.layers = layers;
    engine.isOrdered = true;
}

// KV memory of each layer in tokens, summed over the engines that serve it; 0 for a layer without a copy.
std::vector<double> tokensPerLayer(const ModelLayout&, const std::vector<Engine*>&);

// Tokens that can be in flight: the KV memory of the layer that has the least; 0 when a layer is missing.
double tokensInFlight(const ModelLayout&, const std::vector<Engine*>&);

// Distributes complete copies of the model over the engines, in the given order of engines. The number of copies is the
// one with the highest estimated throughput: the requests that KV memory and the slots of the head engines admit at
// once, divided by the time that a chain of the resulting length takes. Within a copy, the layers are split so that the
// stage with the least KV memory has as much as possible. Returns false and assigns nothing if the engines cannot hold
// one copy.
bool partitionIntoCopies(const ModelLayout&, const std::vector<Engine*>&);

} // namespace jacinthspindle::placement
