// Whole copies of the model over engines, and the memory that a layout leaves for requests.

#include "placement/PlacementEngine.h"

#include <algorithm>

namespace jacinthspindle::placement {

namespace {

    // Part of a data centre's memory that several copies of the model may take.
    constexpr double mostCopiesShare = 0.7;
    // The same where the size of requests is not declared.
    constexpr double copyShare = 0.6;
    // Each stage adds this part of the pure time of a token, because a token waits for the pass in progress.
    constexpr double stageShare = 0.04;

    constexpr double bytesPerMb = 1e6;

    // Gives each layer to the engine that has the most KV memory left with it. Returns one range for each engine, or
    // nothing when their memory holds no whole copy.
    std::vector<LayerRange> tile(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        std::vector<uint32_t> counts(engines.size());
        for (uint32_t placed = 0; placed < model.layers; ++placed) {
            size_t best = engines.size();
            double bestTokens = -1;
            for (size_t i = 0; i < engines.size(); ++i) {
                double tokens = engines[i]->tokensBeside(model, counts[i] + 1);
                if (counts[i] < engines[i]->extended && tokens > bestTokens) {
                    best = i;
                    bestTokens = tokens;
                }
            }
            if (best == engines.size())
                return {};
            ++counts[best];
        }
        std::vector<LayerRange> ranges;
        uint32_t first = 0;
        for (auto n : counts) {
            ranges.push_back({ first, first + n });
            first += n;
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
        for (size_t n = 2; static_cast<double>(n) * weights <= memory * mostCopiesShare; ++n) {
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

} // namespace

std::vector<double> tokensPerLayer(const ModelLayout& model, const std::vector<Engine*>& engines)
{
    std::vector<double> tokens(model.layers);
    for (const auto* it : engines) {
        if (!it->covers())
            continue;
        double beside = it->tokensBeside(model, it->layers.count());
        for (uint32_t layer = it->layers.first; layer < std::min(it->layers.end, model.layers); ++layer)
            tokens[layer] += beside;
    }
    return tokens;
}

double tokensInFlight(const ModelLayout& model, const std::vector<Engine*>& engines)
{
    auto tokens = tokensPerLayer(model, engines);
    return tokens.empty() ? 0 : *std::min_element(tokens.begin(), tokens.end());
}

bool cutMostCopies(const ModelLayout& model, const std::vector<Engine*>& engines)
{
    for (auto n = copiesIn(model, engines); n; --n) {
        if (cutCopies(model, engines, n))
            return true;
    }
    return false;
}

} // namespace jacinthspindle::placement
