// Distribution of complete model copies over engines, and the KV memory that a layout leaves.

#include "placement/PlacementEngine.h"

#include <algorithm>

namespace jacinthspindle::placement {

namespace {

    // Largest share of a data centre's memory that the weights of several copies may take.
    constexpr double maxCopiesWeightShare = 0.7;
    // The same if the size of requests or the slots per head engine are not configured.
    constexpr double defaultWeightShare = 0.6;
    // Each stage adds this fraction to the compute time of a token, because the token waits for the forward pass that
    // is in progress.
    constexpr double stageOverhead = 0.04;

    constexpr double bytesPerMb = 1e6;

    // Splits one copy of the model over the engines. Assigns each layer to the engine that then has the most KV memory
    // left. Returns one range per engine, or an empty vector if the engines cannot hold a complete copy.
    std::vector<LayerRange> partitionCopy(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        std::vector<uint32_t> counts(engines.size());
        for (uint32_t placed = 0; placed < model.layers; ++placed) {
            size_t best = engines.size();
            double bestTokens = -1;
            for (size_t i = 0; i < engines.size(); ++i) {
                double tokens = engines[i]->kvTokensBeside(model, counts[i] + 1);
                if (counts[i] < engines[i]->maxLayers && tokens > bestTokens) {
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

    // Keeps the n engines with the most memory, in their present order.
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

    // Estimated request throughput with n copies, in an arbitrary unit that is the same for each n. The number of
    // requests in flight is bounded by the KV memory that the copies leave and by the slots of the head engines, one
    // per copy. More copies have shorter chains, which answer faster.
    double throughputOf(const ModelLayout& model, const std::vector<Engine*>& engines, double memoryMb, size_t n)
    {
        auto copies = static_cast<double>(n);
        double perRequest = model.tokenKvBytes * model.typicalTokens / bytesPerMb;
        double inMemory = (memoryMb - copies * model.layers * model.layerMb) / perRequest;
        double inFlight = std::min(inMemory, copies * model.headSlots);
        double stages = std::min<double>(static_cast<double>(engines.size()) / copies, maxChainStages);
        return inFlight / (1 + stageOverhead * stages);
    }

    // Returns how many copies of the model the engines should hold, so that the weights leave enough KV memory. At
    // least 1, also if the engines cannot hold one copy.
    size_t bestCopyCount(const ModelLayout& model, const std::vector<Engine*>& engines)
    {
        double memory = 0;
        for (const auto* it : engines)
            memory += it->memoryMb;
        double weights = model.layers * model.layerMb;
        if (weights <= 0)
            return 1;
        if (!model.typicalTokens || !model.headSlots)
            return std::max<size_t>(1, static_cast<size_t>(memory * defaultWeightShare / weights));
        size_t best = 1;
        for (size_t n = 2; static_cast<double>(n) * weights <= memory * maxCopiesWeightShare; ++n) {
            if (throughputOf(model, engines, memory, n) > throughputOf(model, engines, memory, best))
                best = n;
        }
        return best;
    }

    // Assigns each engine to the copy with the least memory so far, so that the copies get similar amounts.
    std::vector<std::vector<Engine*>> distributeEngines(const std::vector<Engine*>& engines, size_t n)
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

    // Splits n copies over the engines. Returns false and assigns nothing if a copy does not fit its engines.
    bool partitionInto(const ModelLayout& model, const std::vector<Engine*>& engines, size_t n)
    {
        auto copies = distributeEngines(engines, n);
        std::vector<std::vector<LayerRange>> ranges;
        for (auto& copy : copies) {
            keepLargest(copy, maxChainStages);
            ranges.push_back(partitionCopy(model, copy));
            if (ranges.back().empty())
                return false;
        }
        for (size_t i = 0; i < n; ++i) {
            for (size_t k = 0; k < copies[i].size(); ++k) {
                if (ranges[i][k].count() && ranges[i][k] != copies[i][k]->layers)
                    assignLayers(*copies[i][k], ranges[i][k]);
            }
        }
        return true;
    }

} // namespace

std::vector<double> tokensPerLayer(const ModelLayout& model, const std::vector<Engine*>& engines)
{
    std::vector<double> tokens(model.layers);
    for (const auto* it : engines) {
        if (!it->isServing())
            continue;
        double beside = it->kvTokensBeside(model, it->layers.count());
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

bool partitionIntoCopies(const ModelLayout& model, const std::vector<Engine*>& engines)
{
    for (auto n = bestCopyCount(model, engines); n; --n) {
        if (partitionInto(model, engines, n))
            return true;
    }
    return false;
}

} // namespace jacinthspindle::placement
