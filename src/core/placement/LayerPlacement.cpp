// Placement of layers: whole copies first, then gaps, then memory for requests where it is scarce.

#include "spindlecore/LayerPlacement.h"

#include "placement/PlacementEngine.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jacinthspindle {

using namespace placement;

namespace {

    // Part of an engine's memory that its layers take for good. The rest holds the KV cache of requests: an engine that
    // is filled with weights preempts requests instead of serving them.
    constexpr double weightShare = 0.7;
    // An engine that extends its range into a gap may fill more, since chains across data centres share one slow pipe.
    // It keeps KV memory for this many tokens: about half of the streams of a data centre at the users' peak.
    constexpr double leastTokens = 25000;
    // A data centre with a gap is cut anew if that leaves this many times the memory that its neighbours' extension
    // does.
    constexpr double anewGain = 1.5;
    // An engine gives up layers that others hold if the data centre's scarcity falls by this part.
    constexpr double leastRelief = 0.05;

    double memoryOf(const ModelLayout& model, const std::string& accelerator)
    {
        auto kind = model.kinds.find(accelerator);
        return kind == model.kinds.end() ? 0 : kind->second.memoryMb;
    }

    uint32_t capacityWithin(const ModelLayout& model, double memoryMb)
    {
        return model.layerMb > 0 ? static_cast<uint32_t>(memoryMb / model.layerMb) : 0;
    }

    uint32_t extendedCapacity(const ModelLayout& model, double memoryMb)
    {
        auto n = capacityWithin(model, memoryMb);
        while (n && model.tokensBeside({ memoryMb }, n) < leastTokens)
            --n;
        return n;
    }

    std::vector<uint32_t> countCopies(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        std::vector<uint32_t> copies(model.layers);
        for (const auto* it : engines) {
            if (!it->covers())
                continue;
            for (uint32_t layer = it->layers.first; layer < std::min(it->layers.end, model.layers); ++layer)
                ++copies[layer];
        }
        return copies;
    }

    // The first copies of a data centre whose engines are all empty.
    void placeWholeCopies(const ModelLayout& model, std::vector<Engine*> engines)
    {
        // The largest engine comes first: as the head of chains it holds the slots of all their requests.
        std::sort(engines.begin(), engines.end(), [](const Engine* a, const Engine* b) {
            return a->memoryMb != b->memoryMb ? a->memoryMb > b->memoryMb : a->known->endpoint < b->known->endpoint;
        });
        cutMostCopies(model, engines);
    }

    // Cuts the model anew over the engines of a data centre that misses layers. In the order of their present ranges,
    // each engine moves by a few layers only.
    bool placeAnew(const ModelLayout& model, std::vector<Engine*> engines)
    {
        std::stable_sort(engines.begin(), engines.end(), [](const Engine* a, const Engine* b) {
            return a->layers.first + a->layers.end < b->layers.first + b->layers.end;
        });
        return cutMostCopies(model, engines);
    }

    // Grows the more requests compete for the layers with the least memory; a missing layer outweighs all others.
    double scarcityOf(const std::vector<double>& tokensPerLayer)
    {
        double sum = 0;
        for (auto tokens : tokensPerLayer)
            sum += 1 / std::pow(std::max(1.0, tokens), 2);
        return sum;
    }

    // The window of n layers to which an empty engine with that much memory beside them adds most.
    LayerRange scarcestWindow(const std::vector<double>& tokensPerLayer, double added, uint32_t n)
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

    // Layers at the edges that have a copy already are left out, so that their memory serves requests.
    LayerRange trimmed(LayerRange range, const std::vector<uint32_t>& copies)
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

    void fillEmpty(const ModelLayout& model, const std::vector<Engine*>& local)
    {
        std::vector<Engine*> empty;
        for (auto* it : local) {
            if (it->isEmpty() && it->usual)
                empty.push_back(it);
        }
        // Large engines first, so that a wide gap is closed by one order.
        std::stable_sort(
            empty.begin(), empty.end(), [](const Engine* a, const Engine* b) { return a->usual > b->usual; });
        for (auto* it : empty) {
            auto n = std::min(it->usual, model.layers);
            double added = it->tokensBeside(model, n);
            auto window = scarcestWindow(tokensPerLayer(model, local), added, n);
            order(*it, trimmed(window, countCopies(model, local)));
        }
    }

    // Moves the edge of the best neighbour one layer into a gap; false when no neighbour has room.
    bool extendInto(const std::vector<Engine*>& local, uint32_t layer)
    {
        Engine* best = nullptr;
        for (auto* it : local) {
            bool touches = it->layers.end == layer || it->layers.first == layer + 1;
            if (!it->covers() || it->known->isBusy || !touches || it->layers.count() >= it->extended)
                continue;
            if (!best || it->extended - it->layers.count() > best->extended - best->layers.count())
                best = it;
        }
        if (!best)
            return false;
        auto range = best->layers;
        range.first = std::min(range.first, layer);
        range.end = std::max(range.end, layer + 1);
        order(*best, range);
        return true;
    }

    bool closeGap(const std::vector<Engine*>& local, LayerRange gap)
    {
        while (gap.count()) {
            if (extendInto(local, gap.first))
                ++gap.first;
            else if (extendInto(local, gap.end - 1))
                --gap.end;
            else
                return false;
        }
        return true;
    }

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

    // Moves an engine whose layers have other copies into the gap; false when there is none that holds enough.
    bool moveInto(const ModelLayout& model, const std::vector<Engine*>& local, LayerRange gap)
    {
        auto copies = countCopies(model, local);
        for (auto* it : local) {
            bool isFree = it->covers() && !it->known->isBusy && !it->isOrdered && isRedundant(*it, copies);
            if (!isFree || it->extended < gap.count())
                continue;
            order(*it, gap);
            return true;
        }
        return false;
    }

    // Closes gaps from both sides, or by an engine that is not needed where it is. A gap that cannot be closed as a
    // whole is left alone, unless some of its layers have no copy anywhere: chains use another data centre for it, and
    // a smaller gap would not spare them that.
    void closeGaps(const ModelLayout& model, const std::vector<Engine*>& local, const std::vector<Engine*>& all)
    {
        for (const auto& gap : gapsOf(countCopies(model, local))) {
            std::vector<Engine> before;
            before.reserve(local.size());
            for (const auto* it : local)
                before.push_back(*it);
            if (closeGap(local, gap))
                continue;
            for (size_t i = 0; i < local.size(); ++i)
                *local[i] = before[i];
            if (moveInto(model, local, gap))
                continue;
            for (const auto& missing : gapsOf(countCopies(model, all))) {
                if (missing.first >= gap.first && missing.end <= gap.end)
                    closeGap(local, missing);
            }
        }
    }

    // The best range for an engine that gives up layers at its edges, each of which a steady engine holds as well.
    struct GiveBack {
        Engine* engine = nullptr;
        LayerRange layers;
        double scarcity = 0; // Of the data centre afterwards.
    };

    double scarcityWith(
        const ModelLayout& model, const Engine& engine, LayerRange range, const std::vector<double>& tokensPerLayer)
    {
        auto tokens = tokensPerLayer;
        double before = engine.tokensBeside(model, engine.layers.count());
        double after = engine.tokensBeside(model, range.count());
        for (uint32_t layer = engine.layers.first; layer < engine.layers.end; ++layer)
            tokens[layer] += (range.contains(layer) ? after : 0) - before;
        return scarcityOf(tokens);
    }

    void considerGiveBack(const ModelLayout& model, Engine& engine, const std::vector<uint32_t>& copies,
        const std::vector<double>& tokensPerLayer, GiveBack& best)
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

    // Gives engines their memory for requests back: layers at the edges of their ranges that others hold as well.
    void giveBack(const ModelLayout& model, const std::vector<Engine*>& local)
    {
        std::vector<Engine*> steady;
        std::copy_if(local.begin(), local.end(), std::back_inserter(steady),
            [](const Engine* it) { return it->covers() && it->mayBeOrdered() && !it->isSlow(); });
        auto copies = countCopies(model, steady);
        auto tokens = tokensPerLayer(model, local);
        while (true) {
            double before = scarcityOf(tokens);
            GiveBack best { nullptr, {}, before * (1 - leastRelief) };
            for (auto* it : steady)
                considerGiveBack(model, *it, copies, tokens, best);
            if (!best.engine)
                return;
            for (uint32_t layer = best.engine->layers.first; layer < best.engine->layers.end; ++layer)
                copies[layer] -= best.layers.contains(layer) ? 0 : 1;
            order(*best.engine, best.layers);
            tokens = tokensPerLayer(model, local);
        }
    }

    std::vector<Engine*> stayingOf(const std::vector<Engine*>& engines)
    {
        std::vector<Engine*> staying;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(staying),
            [](const Engine* it) { return !it->known->isLeaving; });
        return staying;
    }

    std::vector<Engine> copyOf(const std::vector<Engine*>& engines)
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

    // Closes the gaps of a data centre in the way that leaves more memory for requests. Returns true when it is cut
    // anew.
    bool repair(
        const ModelLayout& model, const std::vector<Engine*>& local, const std::vector<Engine*>& all, bool mayCut)
    {
        if (gapsOf(countCopies(model, local)).empty())
            return false;
        auto before = copyOf(local);
        closeGaps(model, local, all);
        if (!mayCut)
            return false;
        auto extended = copyOf(local);
        double tokens = tokensInFlight(model, local);
        restore(local, before);
        if (placeAnew(model, stayingOf(local)) && tokensInFlight(model, local) >= anewGain * tokens)
            return true;
        restore(local, extended);
        return false;
    }

    using Groups = std::map<DataCentreId, std::vector<Engine*>>;

    bool isBusy(const std::vector<Engine*>& local)
    {
        return std::any_of(
            local.begin(), local.end(), [](const Engine* it) { return it->known->isBusy || it->isOrdered; });
    }

    // While the engines of a data centre that is cut anew load, its requests use the others: one is cut at a time, and
    // only while another is whole or none is.
    bool mayCutOne(const ModelLayout& model, const Groups& groups)
    {
        bool hasWhole = false;
        bool hasBusy = false;
        for (const auto& [dataCentre, local] : groups) {
            bool isWhole = gapsOf(countCopies(model, local)).empty();
            hasBusy = hasBusy || (isBusy(local) && !isWhole);
            hasWhole = hasWhole || (isWhole && !isBusy(local));
        }
        return hasWhole || !hasBusy;
    }

    std::vector<Engine> enginesOf(const ModelLayout& model, const std::vector<PlacedEngine>& known)
    {
        std::vector<Engine> engines;
        engines.reserve(known.size());
        for (const auto& it : known) {
            auto memoryMb = memoryOf(model, it.accelerator);
            // An engine may hold layers of a larger model, or say so by mistake.
            LayerRange layers { std::min(it.layers.first, model.layers), std::min(it.layers.end, model.layers) };
            engines.push_back({ &it, layers, memoryMb, capacityWithin(model, memoryMb * weightShare),
                extendedCapacity(model, memoryMb) });
        }
        return engines;
    }

    Groups byDataCentre(std::vector<Engine>& engines)
    {
        Groups groups;
        for (auto& it : engines)
            groups[it.known->dataCentre].push_back(&it);
        return groups;
    }

} // namespace

uint32_t layerCapacity(const ModelLayout& model, const std::string& accelerator)
{
    return capacityWithin(model, memoryOf(model, accelerator));
}

std::vector<PlacementOrder> planPlacement(
    const ModelLayout& model, const std::vector<PlacedEngine>& known, const PlacementScope& scope)
{
    auto engines = enginesOf(model, known);
    std::vector<Engine*> all;
    all.reserve(engines.size());
    for (auto& it : engines)
        all.push_back(&it);
    auto groups = byDataCentre(engines);
    for (auto& [dataCentre, local] : groups) {
        if (scope.cutOff.contains(dataCentre))
            continue;
        auto staying = stayingOf(local);
        bool isNew = std::none_of(
            staying.begin(), staying.end(), [](const Engine* it) { return it->layers.count() || it->known->isBusy; });
        if (isNew)
            placeWholeCopies(model, staying);
        fillEmpty(model, local);
    }
    bool mayCut = mayCutOne(model, groups);
    for (auto& [dataCentre, local] : groups) {
        if (scope.cutOff.contains(dataCentre))
            continue;
        if (repair(model, local, all, mayCut && !isBusy(local)))
            mayCut = false;
        if (scope.settled.contains(dataCentre))
            giveBack(model, local);
    }
    std::vector<PlacementOrder> orders;
    for (const auto& it : engines) {
        if (it.isOrdered)
            orders.push_back({ it.known->endpoint, it.layers });
    }
    return orders;
}

bool hasGap(const ModelLayout& model, const std::vector<PlacedEngine>& known)
{
    auto engines = enginesOf(model, known);
    auto groups = byDataCentre(engines);
    return std::any_of(
        groups.begin(), groups.end(), [&](const auto& it) { return !gapsOf(countCopies(model, it.second)).empty(); });
}

double placementTokens(const ModelLayout& model, const std::vector<PlacedEngine>& known)
{
    auto engines = enginesOf(model, known);
    double tokens = 0;
    for (const auto& [dataCentre, local] : byDataCentre(engines))
        tokens += tokensInFlight(model, local);
    return tokens;
}

} // namespace jacinthspindle
