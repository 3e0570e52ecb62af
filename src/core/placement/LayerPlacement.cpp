// Placement of layers: a first copy in proportion to memory, then gaps, then further copies of the scarcest layers.

#include "spindlecore/LayerPlacement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jacinthspindle {

namespace {

    // Part of an engine's memory that a copy of the layers may take. The rest holds the KV cache of requests: an engine
    // that is filled with weights preempts requests instead of serving them.
    constexpr double weightShare = 0.7;
    // An engine that extends its range into a gap may fill more, since chains across data centres share one slow pipe.
    // It keeps KV memory for this many tokens: about half of the streams of a data centre at the users' peak.
    constexpr double leastTokens = 25000;

    // Part of a data centre's memory that whole copies of the model may take where the size of requests is not
    // declared.
    constexpr double copyShare = 0.6;
    // Each stage adds this part of the pure time of a token, because a token waits for the pass in progress.
    constexpr double stageShare = 0.04;

    constexpr double bytesPerMb = 1e6;

    struct Engine {
        const PlacedEngine* known = nullptr;
        LayerRange layers; // As known, then as ordered.
        double memoryMb = 0; // 0 for an unknown kind.
        uint32_t usual = 0; // Layers within weightShare.
        uint32_t extended = 0; // Layers that leave memory for leastTokens.
        bool isOrdered = false;

        bool isEmpty() const { return !layers.count() && !known->isBusy && !known->isLeaving; }
        bool covers() const { return layers.count() && !known->isLeaving; }
        // Ranges are cut to whole layers, so that one layer more than usual is no reason to move.
        bool isCrowded() const { return covers() && layers.count() > usual + 1; }
    };

    double memoryOf(const ModelLayout& model, const std::string& accelerator)
    {
        auto kind = model.kinds.find(accelerator);
        return kind == model.kinds.end() ? 0 : kind->second.memoryMb;
    }

    uint32_t capacityWithin(const ModelLayout& model, double memoryMb)
    {
        return model.layerMb > 0 ? static_cast<uint32_t>(memoryMb / model.layerMb) : 0;
    }

    double tokensBeside(const ModelLayout& model, double memoryMb, uint32_t n)
    {
        return model.tokensBeside({ memoryMb }, n);
    }

    uint32_t extendedCapacity(const ModelLayout& model, double memoryMb)
    {
        auto n = capacityWithin(model, memoryMb);
        while (n && tokensBeside(model, memoryMb, n) < leastTokens)
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

    void order(Engine& engine, LayerRange layers)
    {
        engine.layers = layers;
        engine.isOrdered = true;
    }

    // Cuts the model into ranges in proportion to memory, in the order of the engines, so that every stage has KV
    // memory for about as many tokens. Returns one range for each engine, or nothing when their memory holds no whole
    // copy.
    std::vector<LayerRange> tile(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        double memory = 0;
        uint32_t capacity = 0;
        for (const auto* it : engines) {
            memory += it->extended ? it->memoryMb : 0;
            capacity += it->extended;
        }
        if (capacity < model.layers)
            return {};
        std::vector<LayerRange> ranges;
        uint32_t first = 0;
        uint32_t behind = capacity; // What the engines behind the present one can hold.
        double before = 0;
        for (const auto* it : engines) {
            before += it->extended ? it->memoryMb : 0;
            behind -= it->extended;
            auto end = static_cast<uint32_t>(std::lround(model.layers * before / memory));
            uint32_t least = model.layers > behind ? model.layers - behind : 0;
            end = std::min({ std::max({ end, least, first }), first + it->extended, model.layers });
            ranges.push_back({ first, end });
            first = end;
        }
        return ranges;
    }

    // Drops the smallest engines beyond n and keeps the order of the others.
    void keepLargest(std::vector<Engine*>& engines, size_t n)
    {
        if (engines.size() <= n)
            return;
        auto bySize = engines;
        std::stable_sort(
            bySize.begin(), bySize.end(), [](const Engine* a, const Engine* b) { return a->memoryMb > b->memoryMb; });
        bySize.resize(n);
        std::erase_if(engines, [&](Engine* it) { return std::find(bySize.begin(), bySize.end(), it) == bySize.end(); });
    }

    // Requests per time that n copies can serve, in a unit that is the same for each n. Requests in flight are bounded
    // by the memory that the copies leave and by the slots of the engines at the head of the chains, one for each copy.
    // More copies have shorter chains, which answer faster.
    double flowOf(const ModelLayout& model, const std::vector<Engine*>& engines, double memoryMb, size_t n)
    {
        auto copies = static_cast<double>(n);
        double perRequest = model.tokenKvBytes * model.usualTokens / bytesPerMb;
        double inMemory = (memoryMb - copies * model.layers * model.layerMb) / perRequest;
        double inFlight = std::min(inMemory, copies * model.headSlots);
        double stages = std::min<double>(static_cast<double>(engines.size()) / copies, maxChainStages);
        return inFlight / (1 + stageShare * stages);
    }

    // Copies of the model that the engines hold together, while their weights leave enough memory for requests.
    size_t copiesIn(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        double memory = 0;
        for (const auto* it : engines)
            memory += it->memoryMb;
        double weights = model.layers * model.layerMb;
        if (weights <= 0)
            return 1;
        if (!model.usualTokens || !model.headSlots)
            return std::max<size_t>(1, static_cast<size_t>(memory * copyShare / weights));
        size_t best = 1;
        for (size_t n = 2; static_cast<double>(n) * weights <= memory * weightShare; ++n) {
            if (flowOf(model, engines, memory, n) > flowOf(model, engines, memory, best))
                best = n;
        }
        return best;
    }

    // Gives each engine to the copy with the least memory so far, so that all copies have about the same.
    std::vector<std::vector<Engine*>> dealOut(const std::vector<Engine*>& engines, size_t n)
    {
        std::vector<std::vector<Engine*>> copies(n);
        std::vector<double> memory(n);
        for (auto* it : engines) {
            auto least = static_cast<size_t>(std::min_element(memory.begin(), memory.end()) - memory.begin());
            copies[least].push_back(it);
            memory[least] += it->memoryMb;
        }
        return copies;
    }

    // Cuts each copy in the order of its engines. Returns false, and orders nothing, when a copy does not fit them.
    bool cutCopies(const ModelLayout& model, const std::vector<Engine*>& engines, size_t n)
    {
        auto copies = dealOut(engines, n);
        std::vector<std::vector<LayerRange>> ranges;
        for (auto& copy : copies) {
            keepLargest(copy, maxChainStages);
            ranges.push_back(tile(model, copy));
            if (ranges.back().empty())
                return false;
        }
        for (size_t i = 0; i < n; ++i) {
            for (size_t k = 0; k < copies[i].size(); ++k) {
                if (ranges[i][k].count() && ranges[i][k] != copies[i][k]->layers)
                    order(*copies[i][k], ranges[i][k]);
            }
        }
        return true;
    }

    // Cuts as many copies as the engines hold; false when they do not hold one.
    bool cutMostCopies(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        for (auto n = copiesIn(model, engines); n; --n) {
            if (cutCopies(model, engines, n))
                return true;
        }
        return false;
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

    // Layers that crowded engines could give back if the window had another copy: those at the edges of their ranges.
    uint32_t reliefBy(LayerRange window, const std::vector<Engine*>& engines)
    {
        uint32_t relief = 0;
        for (const auto* it : engines) {
            if (!it->isCrowded())
                continue;
            const auto& held = it->layers;
            bool coversFront = window.contains(held.first);
            bool coversBack = window.contains(held.end - 1);
            uint32_t front = coversFront ? std::min(window.end, held.end) - held.first : 0;
            uint32_t back = coversBack ? held.end - std::max(window.first, held.first) : 0;
            relief += std::min(held.count() - it->usual, std::max(front, back));
        }
        return relief;
    }

    // The window of n layers with the fewest copies; copies in the own data centre weigh more than those elsewhere.
    // Among windows with as many copies, those that relieve crowded engines come first.
    LayerRange scarcestWindow(const std::vector<uint32_t>& local, const std::vector<uint32_t>& all,
        const std::vector<Engine*>& engines, uint32_t n)
    {
        auto layers = static_cast<uint32_t>(local.size());
        // A layer without a copy in the data centre outweighs any number of layers with one.
        constexpr double missingWeight = 1000;
        constexpr double reliefWeight = 0.5; // Of one layer.
        auto gain = [&](uint32_t layer) {
            double value = 1.0 / (1 + local[layer]) + 0.1 / (1 + all[layer]);
            return local[layer] ? value : value + missingWeight;
        };
        LayerRange best { 0, n };
        double bestGain = -1;
        for (uint32_t first = 0; first + n <= layers; ++first) {
            double sum = reliefWeight * reliefBy({ first, first + n }, engines);
            for (uint32_t layer = first; layer < first + n; ++layer)
                sum += gain(layer);
            if (sum > bestGain + 1e-9) {
                bestGain = sum;
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

    void fillEmpty(const ModelLayout& model, const std::vector<Engine*>& local, const std::vector<Engine*>& all)
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
            auto copies = countCopies(model, local);
            auto window = scarcestWindow(copies, countCopies(model, all), local, std::min(it->usual, model.layers));
            order(*it, trimmed(window, copies));
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

    // Gives crowded engines back their memory for requests: layers at the edges of their ranges that have other copies.
    void trimCrowded(const ModelLayout& model, const std::vector<Engine*>& local)
    {
        auto copies = countCopies(model, local);
        bool isSettled = std::none_of(
            local.begin(), local.end(), [](const Engine* it) { return it->known->isBusy || it->isOrdered; });
        bool isWhole = std::all_of(copies.begin(), copies.end(), [](uint32_t n) { return n > 0; });
        // While an order is in progress, a copy that is counted may not be there yet.
        if (!isSettled || !isWhole)
            return;
        for (auto* it : local) {
            auto range = it->layers;
            if (!it->isCrowded())
                continue;
            while (range.count() > it->usual && copies[range.first] > 1)
                --copies[range.first++];
            while (range.count() > it->usual && copies[range.end - 1] > 1)
                --copies[--range.end];
            if (range != it->layers)
                order(*it, range);
        }
    }

    std::vector<Engine*> stayingOf(const std::vector<Engine*>& engines)
    {
        std::vector<Engine*> staying;
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(staying),
            [](const Engine* it) { return !it->known->isLeaving; });
        return staying;
    }

    // Places one data centre anew that misses layers. While its engines load, its requests use the others, so that only
    // one is placed at a time, and only while another is whole or none is.
    void placeOneAnew(const ModelLayout& model, const std::map<DataCentreId, std::vector<Engine*>>& groups)
    {
        std::vector<std::vector<Engine*>> broken;
        bool hasWhole = false;
        bool hasBusy = false;
        for (const auto& [dataCentre, local] : groups) {
            bool isBusy = std::any_of(
                local.begin(), local.end(), [](const Engine* it) { return it->known->isBusy || it->isOrdered; });
            bool isWhole = gapsOf(countCopies(model, local)).empty();
            hasBusy = hasBusy || (isBusy && !isWhole);
            hasWhole = hasWhole || (isWhole && !isBusy);
            if (!isWhole && !isBusy)
                broken.push_back(stayingOf(local));
        }
        if (!hasWhole && hasBusy)
            return;
        for (auto& engines : broken) {
            if (placeAnew(model, engines))
                return;
        }
    }

    std::vector<Engine> enginesOf(const ModelLayout& model, const std::vector<PlacedEngine>& known)
    {
        std::vector<Engine> engines;
        engines.reserve(known.size());
        for (const auto& it : known) {
            auto memoryMb = memoryOf(model, it.accelerator);
            engines.push_back({ &it, it.layers, memoryMb, capacityWithin(model, memoryMb * weightShare),
                extendedCapacity(model, memoryMb) });
        }
        return engines;
    }

    std::map<DataCentreId, std::vector<Engine*>> byDataCentre(std::vector<Engine>& engines)
    {
        std::map<DataCentreId, std::vector<Engine*>> groups;
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
    const ModelLayout& model, const std::vector<PlacedEngine>& known, CutAnew cutAnew)
{
    auto engines = enginesOf(model, known);
    std::vector<Engine*> all;
    all.reserve(engines.size());
    for (auto& it : engines)
        all.push_back(&it);
    auto groups = byDataCentre(engines);
    for (auto& [dataCentre, local] : groups) {
        auto staying = stayingOf(local);
        bool isNew = std::none_of(
            staying.begin(), staying.end(), [](const Engine* it) { return it->layers.count() || it->known->isBusy; });
        if (isNew)
            placeWholeCopies(model, staying);
        fillEmpty(model, local, all);
        closeGaps(model, local, all);
        trimCrowded(model, local);
    }
    if (cutAnew == CutAnew::Allowed)
        placeOneAnew(model, groups);
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
    for (const auto& [dataCentre, local] : byDataCentre(engines)) {
        std::vector<double> perLayer(model.layers);
        for (const auto* it : local) {
            if (!it->covers())
                continue;
            double room = tokensBeside(model, it->memoryMb, it->layers.count());
            for (uint32_t layer = it->layers.first; layer < std::min(it->layers.end, model.layers); ++layer)
                perLayer[layer] += room;
        }
        tokens += perLayer.empty() ? 0 : *std::min_element(perLayer.begin(), perLayer.end());
    }
    return tokens;
}

} // namespace jacinthspindle
