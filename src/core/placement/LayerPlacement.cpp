// Layer placement: first complete copies, then gaps, then more KV memory where it is scarce.

#include "spindlecore/LayerPlacement.h"

#include "placement/PlacementEngine.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jacinthspindle {

using namespace placement;

namespace {

    // Share of an engine's memory that weights regularly take. The rest holds the KV cache: an engine whose memory is
    // filled with weights preempts requests instead of serving them.
    constexpr double maxWeightShare = 0.7;
    // KV memory in tokens that an engine keeps at least when its range is extended into a gap: enough for about half of
    // a data centre's streams at peak load. Its weights may exceed maxWeightShare then, because an open gap forces
    // chains across data centres, which share one slow link.
    constexpr double minKvTokens = 25000;
    // A data centre with a gap is repartitioned if that leaves at least this many times the KV memory that extending
    // the neighbours of the gap leaves.
    constexpr double minRepartitionGain = 1.5;
    // An engine unloads redundant layers only if this lowers scarcityOf() of its data centre by at least this fraction.
    constexpr double minScarcityReduction = 0.05;

    double memoryOf(const ModelLayout& model, const std::string& accelerator)
    {
        auto kind = model.kinds.find(accelerator);
        return kind == model.kinds.end() ? 0 : kind->second.memoryMb;
    }

    // Number of layers whose weights fit into the memory.
    uint32_t layersWithin(const ModelLayout& model, double memoryMb)
    {
        return model.layerMb > 0 ? static_cast<uint32_t>(memoryMb / model.layerMb) : 0;
    }

    // Number of layers that fit and leave KV memory for minKvTokens.
    uint32_t maxLayersWithin(const ModelLayout& model, double memoryMb)
    {
        auto n = layersWithin(model, memoryMb);
        while (n && model.kvCapacityTokens({ memoryMb }, n) < minKvTokens)
            --n;
        return n;
    }

    std::vector<uint32_t> countCopies(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        std::vector<uint32_t> copies(model.layers);
        for (const auto* it : engines) {
            if (!it->isServing())
                continue;
            for (uint32_t layer = it->layers.first; layer < std::min(it->layers.end, model.layers); ++layer)
                ++copies[layer];
        }
        return copies;
    }

    // Places the first copies in a data centre whose engines hold no layers.
    void placeFirstCopies(const ModelLayout& model, std::vector<Engine*> engines)
    {
        // The largest engine comes first, because the head of a chain holds a slot for each request of the chain.
        std::sort(engines.begin(), engines.end(), [](const Engine* a, const Engine* b) {
            return a->memoryMb != b->memoryMb ? a->memoryMb > b->memoryMb : a->state->endpoint < b->state->endpoint;
        });
        partitionIntoCopies(model, engines);
    }

    // Partitions the model again over the engines of a data centre that lacks layers. The engines are sorted by their
    // current ranges, so that each range moves by a few layers only.
    bool repartition(const ModelLayout& model, std::vector<Engine*> engines)
    {
        std::stable_sort(engines.begin(), engines.end(), [](const Engine* a, const Engine* b) {
            return a->layers.first + a->layers.end < b->layers.first + b->layers.end;
        });
        return partitionIntoCopies(model, engines);
    }

    // Cost of a layout: the sum over the layers of 1 / tokens^2. The layers with the least KV memory dominate it, and a
    // missing layer outweighs all others.
    double scarcityOf(const std::vector<double>& tokensPerLayer)
    {
        double sum = 0;
        for (auto tokens : tokensPerLayer)
            sum += 1 / std::pow(std::max(1.0, tokens), 2);
        return sum;
    }

    // Returns the range of n layers whose scarcity decreases most when an engine adds `added` tokens of KV memory to
    // each of them.
    LayerRange scarcestRange(const std::vector<double>& tokensPerLayer, double added, uint32_t n)
    {
        LayerRange best { 0, n };
        double bestGain = -1;
        auto layers = static_cast<uint32_t>(tokensPerLayer.size());
        for (uint32_t first = 0; first + n <= layers; ++first) {
            std::vector<double> window(tokensPerLayer.begin() + first, tokensPerLayer.begin() + first + n);
            double gain = scarcityOf(window);
            for (auto& it : window)
                it += added;
            gain -= scarcityOf(window);
            if (gain > bestGain * (1 + 1e-9)) {
                bestGain = gain;
                best = { first, first + n };
            }
        }
        return best;
    }

    // Removes layers that already have a copy from both ends of the range, so that their memory is left for requests.
    // Returns the range unchanged if none of its layers is missing.
    LayerRange trimToMissing(LayerRange range, const std::vector<uint32_t>& copies)
    {
        auto isMissing = [&](uint32_t layer) { return copies[layer] == 0; };
        bool hasMissing = false;
        for (uint32_t layer = range.first; layer < range.end; ++layer)
            hasMissing = hasMissing || isMissing(layer);
        if (!hasMissing)
            return range;
        while (!isMissing(range.first))
            ++range.first;
        while (!isMissing(range.end - 1))
            --range.end;
        return range;
    }

    // Assigns to each engine without layers the range where its KV memory is needed most.
    void assignEmptyEngines(const ModelLayout& model, const std::vector<Engine*>& local)
    {
        std::vector<Engine*> empty;
        for (auto* it : local) {
            if (it->isUnassigned() && it->regularLayers)
                empty.push_back(it);
        }
        // Large engines first, so that one order closes a wide gap.
        std::stable_sort(empty.begin(), empty.end(),
            [](const Engine* a, const Engine* b) { return a->regularLayers > b->regularLayers; });
        for (auto* it : empty) {
            auto n = std::min(it->regularLayers, model.layers);
            double added = it->kvTokensBeside(model, n);
            auto window = scarcestRange(tokensPerLayer(model, local), added, n);
            assignLayers(*it, trimToMissing(window, countCopies(model, local)));
        }
    }

    // Adds the layer to the adjacent engine with the most layers to spare. Returns false if no adjacent engine can take
    // it.
    bool extendNeighbourInto(const std::vector<Engine*>& local, uint32_t layer)
    {
        Engine* best = nullptr;
        for (auto* it : local) {
            bool isAdjacent = it->layers.end == layer || it->layers.first == layer + 1;
            if (!it->isServing() || it->state->isBusy || !isAdjacent || it->layers.count() >= it->maxLayers)
                continue;
            if (!best || it->maxLayers - it->layers.count() > best->maxLayers - best->layers.count())
                best = it;
        }
        if (!best)
            return false;
        auto range = best->layers;
        range.first = std::min(range.first, layer);
        range.end = std::max(range.end, layer + 1);
        assignLayers(*best, range);
        return true;
    }

    // Extends the adjacent engines until they cover the gap. Returns false if a part stays open; the extensions made
    // until then remain.
    bool extendIntoGap(const std::vector<Engine*>& local, LayerRange gap)
    {
        while (gap.count()) {
            if (extendNeighbourInto(local, gap.first))
                ++gap.first;
            else if (extendNeighbourInto(local, gap.end - 1))
                --gap.end;
            else
                return false;
        }
        return true;
    }

    // Returns the maximal ranges of layers without a copy.
    std::vector<LayerRange> gapsOf(const std::vector<uint32_t>& copies)
    {
        std::vector<LayerRange> gaps;
        for (uint32_t layer = 0; layer < copies.size(); ++layer) {
            if (copies[layer])
                continue;
            if (gaps.empty() || gaps.back().end != layer)
                gaps.push_back({ layer, layer });
            ++gaps.back().end;
        }
        return gaps;
    }

    // True when every layer of the engine has another copy in its data centre.
    bool isRedundant(const Engine& engine, const std::vector<uint32_t>& copies)
    {
        for (uint32_t layer = engine.layers.first; layer < engine.layers.end; ++layer) {
            if (copies[layer] < 2)
                return false;
        }
        return true;
    }

    // Reassigns an engine whose layers all have other copies to the gap. Returns false if there is no such engine that
    // can hold the whole gap.
    bool moveSpareEngineInto(const ModelLayout& model, const std::vector<Engine*>& local, LayerRange gap)
    {
        auto copies = countCopies(model, local);
        for (auto* it : local) {
            bool isSpare = it->isServing() && !it->state->isBusy && !it->isOrdered && isRedundant(*it, copies);
            if (!isSpare || it->maxLayers < gap.count())
                continue;
            assignLayers(*it, gap);
            return true;
        }
        return false;
    }

    // Closes each gap by extending its neighbours or by moving a redundant engine. If a gap cannot be closed
    // completely, only those of its layers are covered that have no copy in any data centre. Chains must use another
    // data centre for the rest of the gap anyway, so that narrowing it has no benefit.
    void closeGaps(const ModelLayout& model, const std::vector<Engine*>& local, const std::vector<Engine*>& all)
    {
        for (const auto& gap : gapsOf(countCopies(model, local))) {
            std::vector<Engine> before;
            before.reserve(local.size());
            for (const auto* it : local)
                before.push_back(*it);
            if (extendIntoGap(local, gap))
                continue;
            for (size_t i = 0; i < local.size(); ++i)
                *local[i] = before[i];
            if (moveSpareEngineInto(model, local, gap))
                continue;
            for (const auto& missing : gapsOf(countCopies(model, all))) {
                if (missing.first >= gap.first && missing.end <= gap.end)
                    extendIntoGap(local, missing);
            }
        }
    }

    // A candidate for unloading: the engine keeps only `layers`, and each layer that it unloads has another copy on a
    // steady engine (see unloadRedundantLayers).
    struct UnloadCandidate {
        Engine* engine = nullptr;
        LayerRange layers;
        double scarcity = 0; // Scarcity of the data centre after unloading.
    };

    // Scarcity of the data centre if the engine keeps only `range` of its layers.
    double scarcityWith(
        const ModelLayout& model, const Engine& engine, LayerRange range, const std::vector<double>& tokensPerLayer)
    {
        auto tokens = tokensPerLayer;
        double before = engine.kvTokensBeside(model, engine.layers.count());
        double after = engine.kvTokensBeside(model, range.count());
        for (uint32_t layer = engine.layers.first; layer < engine.layers.end; ++layer)
            tokens[layer] += (range.contains(layer) ? after : 0) - before;
        return scarcityOf(tokens);
    }

    // Tries all ranges that the engine can shrink to, and replaces `best` if one of them has a lower scarcity.
    void considerUnload(const ModelLayout& model, Engine& engine, const std::vector<uint32_t>& copies,
        const std::vector<double>& tokensPerLayer, UnloadCandidate& best)
    {
        const auto& held = engine.layers;
        for (uint32_t first = held.first; first < held.end; ++first) {
            for (uint32_t end = held.end; end > first; --end) {
                LayerRange range { first, end };
                double scarcity = range == held ? best.scarcity : scarcityWith(model, engine, range, tokensPerLayer);
                if (scarcity < best.scarcity)
                    best = { &engine, range, scarcity };
                if (copies[end - 1] < 2)
                    break;
            }
            if (copies[first] < 2)
                return;
        }
    }

    // Frees KV memory: engines unload layers at the ends of their ranges that other engines hold as well, the most
    // effective step first. Only steady engines take part and count as holders: those that can receive orders and
    // are not slow. A slow engine is therefore never left with the only copy of a layer.
    void unloadRedundantLayers(const ModelLayout& model, const std::vector<Engine*>& local)
    {
        std::vector<Engine*> steady;
        std::copy_if(local.begin(), local.end(), std::back_inserter(steady),
            [](const Engine* it) { return it->isServing() && it->canBeOrdered() && !it->isSlow(); });
        auto copies = countCopies(model, steady);
        auto tokens = tokensPerLayer(model, local);
        while (true) {
            double before = scarcityOf(tokens);
            UnloadCandidate best { nullptr, {}, before * (1 - minScarcityReduction) };
            for (auto* it : steady)
                considerUnload(model, *it, copies, tokens, best);
            if (!best.engine)
                return;
            for (uint32_t layer = best.engine->layers.first; layer < best.engine->layers.end; ++layer)
                copies[layer] -= best.layers.contains(layer) ? 0 : 1;
            assignLayers(*best.engine, best.layers);
            tokens = tokensPerLayer(model, local);
        }
    }

    // The engines that are neither leaving nor lost.
    std::vector<Engine*> remainingEngines(const std::vector<Engine*>& engines)
    {
        std::vector<Engine*> remaining;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(remaining),
            [](const Engine* it) { return !it->state->isLeaving; });
        return remaining;
    }

    std::vector<Engine> snapshotOf(const std::vector<Engine*>& engines)
    {
        std::vector<Engine> copy;
        copy.reserve(engines.size());
        for (const auto* it : engines)
            copy.push_back(*it);
        return copy;
    }

    void restore(const std::vector<Engine*>& engines, const std::vector<Engine>& copy)
    {
        for (size_t i = 0; i < engines.size(); ++i)
            *engines[i] = copy[i];
    }

    // Closes the gaps of a data centre, either by closeGaps() or by a repartition if that leaves much more KV memory.
    // Returns true if the data centre was repartitioned.
    bool repair(const ModelLayout& model, const std::vector<Engine*>& local, const std::vector<Engine*>& all,
        bool mayRepartition)
    {
        if (gapsOf(countCopies(model, local)).empty())
            return false;
        auto before = snapshotOf(local);
        closeGaps(model, local, all);
        if (!mayRepartition)
            return false;
        auto extended = snapshotOf(local);
        double tokens = tokensInFlight(model, local);
        restore(local, before);
        if (repartition(model, remainingEngines(local)) && tokensInFlight(model, local) >= minRepartitionGain * tokens)
            return true;
        restore(local, extended);
        return false;
    }

    using Groups = std::map<DataCentreId, std::vector<Engine*>>;

    // True while an engine carries out an order or was assigned layers in this cycle.
    bool isBusy(const std::vector<Engine*>& local)
    {
        return std::any_of(
            local.begin(), local.end(), [](const Engine* it) { return it->state->isBusy || it->isOrdered; });
    }

    // Returns whether a data centre may be repartitioned in this cycle. While its engines load, its requests use the
    // other data centres. Hence a repartition needs another complete data centre without orders in progress, or, if
    // there is none, that no incomplete data centre has orders in progress.
    bool mayRepartitionOne(const ModelLayout& model, const Groups& groups)
    {
        bool hasIdleComplete = false;
        bool hasBusyIncomplete = false;
        for (const auto& [dataCentre, local] : groups) {
            bool isComplete = gapsOf(countCopies(model, local)).empty();
            hasBusyIncomplete = hasBusyIncomplete || (isBusy(local) && !isComplete);
            hasIdleComplete = hasIdleComplete || (isComplete && !isBusy(local));
        }
        return hasIdleComplete || !hasBusyIncomplete;
    }

    std::vector<Engine> enginesOf(const ModelLayout& model, const std::vector<PlacedEngine>& placed)
    {
        std::vector<Engine> engines;
        engines.reserve(placed.size());
        for (const auto& it : placed) {
            auto memoryMb = memoryOf(model, it.accelerator);
            // An engine may report layers beyond the end of the model, by mistake or because it serves a larger model.
            LayerRange layers { std::min(it.layers.first, model.layers), std::min(it.layers.end, model.layers) };
            engines.push_back({ &it, layers, memoryMb, layersWithin(model, memoryMb * maxWeightShare),
                maxLayersWithin(model, memoryMb) });
        }
        return engines;
    }

    Groups byDataCentre(std::vector<Engine>& engines)
    {
        Groups groups;
        for (auto& it : engines)
            groups[it.state->dataCentre].push_back(&it);
        return groups;
    }

} // namespace

uint32_t layerCapacity(const ModelLayout& model, const std::string& accelerator)
{
    return layersWithin(model, memoryOf(model, accelerator));
}

std::vector<PlacementOrder> planPlacement(
    const ModelLayout& model, const std::vector<PlacedEngine>& placed, const PlacementConstraints& constraints)
{
    auto engines = enginesOf(model, placed);
    std::vector<Engine*> all;
    all.reserve(engines.size());
    for (auto& it : engines)
        all.push_back(&it);
    auto groups = byDataCentre(engines);
    for (auto& [dataCentre, local] : groups) {
        if (constraints.cutOff.contains(dataCentre))
            continue;
        auto remaining = remainingEngines(local);
        bool isNew = std::none_of(remaining.begin(), remaining.end(),
            [](const Engine* it) { return it->layers.count() || it->state->isBusy; });
        if (isNew)
            placeFirstCopies(model, remaining);
        assignEmptyEngines(model, local);
    }
    bool mayRepartition = mayRepartitionOne(model, groups);
    for (auto& [dataCentre, local] : groups) {
        if (constraints.cutOff.contains(dataCentre))
            continue;
        if (repair(model, local, all, mayRepartition && !isBusy(local)))
            mayRepartition = false;
        if (constraints.settled.contains(dataCentre))
            unloadRedundantLayers(model, local);
    }
    std::vector<PlacementOrder> orders;
    for (const auto& it : engines) {
        if (it.isOrdered)
            orders.push_back({ it.state->endpoint, it.layers });
    }
    return orders;
}

bool hasGap(const ModelLayout& model, const std::vector<PlacedEngine>& placed)
{
    auto engines = enginesOf(model, placed);
    auto groups = byDataCentre(engines);
    return std::any_of(
        groups.begin(), groups.end(), [&](const auto& it) { return !gapsOf(countCopies(model, it.second)).empty(); });
}

double placementTokenCapacity(const ModelLayout& model, const std::vector<PlacedEngine>& placed)
{
    auto engines = enginesOf(model, placed);
    double tokens = 0;
    for (const auto& [dataCentre, local] : byDataCentre(engines))
        tokens += tokensInFlight(model, local);
    return tokens;
}

} // namespace jacinthspindle
