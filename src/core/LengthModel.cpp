// Learning and reading of the length histograms.

#include "spindlecore/internal/LengthModel.h"

#include <algorithm>
#include <bit>

namespace jacinthspindle::internal {

namespace {

    // The effective number of answers that a histogram remembers: 1 / (1 - fade).
    constexpr double fade = 0.99;
    // Answers of the whole route count as this many answers of the workspace.
    constexpr double priorWeight = 8;
    // Without any answer a small part of the allowed length is expected; an unknown length is no reason to refuse.
    constexpr double unknownShare = 0.1;
    // Fewer answers say nothing about the longest ones.
    constexpr double leastForQuantile = 5;
    // Bounds the memory when callers invent workspaces; the table bounds it otherwise.
    constexpr size_t maxHistograms = 8192;

} // namespace

size_t LengthModel::bucketOf(uint32_t tokens)
{
    return std::min<size_t>(bucketCount - 1, std::bit_width(std::max(1U, tokens)) - 1);
}

void LengthModel::add(Histogram& histogram, uint32_t tokens)
{
    for (size_t i = 0; i < bucketCount; ++i) {
        histogram.weight[i] *= fade;
        histogram.tokens[i] *= fade;
    }
    size_t bucket = bucketOf(tokens);
    histogram.weight[bucket] += 1;
    histogram.tokens[bucket] += tokens;
    histogram.total = histogram.total * fade + 1;
}

void LengthModel::learn(const RouteId& route, const WorkspaceId& workspace, uint32_t tokens)
{
    if (m_byWorkspace.size() >= maxHistograms)
        m_byWorkspace.clear();
    add(m_byRoute[route], tokens);
    add(m_byWorkspace[{ route, workspace }], tokens);
}

LengthModel::Histogram LengthModel::combined(const RouteId& route, const WorkspaceId& workspace) const
{
    Histogram sum;
    auto own = m_byWorkspace.find({ route, workspace });
    if (own != m_byWorkspace.end())
        sum = own->second;
    auto shared = m_byRoute.find(route);
    if (shared == m_byRoute.end())
        return sum;
    double scale = std::min(1.0, priorWeight / std::max(1.0, shared->second.total));
    for (size_t i = 0; i < bucketCount; ++i) {
        sum.weight[i] += shared->second.weight[i] * scale;
        sum.tokens[i] += shared->second.tokens[i] * scale;
    }
    sum.total += shared->second.total * scale;
    return sum;
}

double LengthModel::expected(
    const RouteId& route, const WorkspaceId& workspace, uint32_t position, uint32_t maxTokens) const
{
    auto histogram = combined(route, workspace);
    double weight = 0;
    double tokens = 0;
    for (size_t i = position ? bucketOf(position) : 0; i < bucketCount; ++i) {
        weight += histogram.weight[i];
        tokens += histogram.tokens[i];
    }
    double limit = std::max(maxTokens, position + 1);
    // Past all answers seen so far, the rest is taken to be as long as what is done.
    double value = weight > 1e-3 ? tokens / weight : position ? 2.0 * position : unknownShare * maxTokens;
    return std::clamp(value, position + 1.0, limit);
}

double LengthModel::quantile(const RouteId& route, const WorkspaceId& workspace, double share, uint32_t maxTokens) const
{
    auto histogram = combined(route, workspace);
    if (histogram.total < leastForQuantile)
        return unknownShare * maxTokens;
    double sum = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        if (sum + histogram.weight[i] >= share * histogram.total && histogram.weight[i] > 0) {
            // Lengths are taken as evenly spread inside a bucket.
            double inside = (share * histogram.total - sum) / histogram.weight[i];
            double low = static_cast<double>(uint64_t(1) << i);
            return std::min<double>(maxTokens, low * (1 + inside));
        }
        sum += histogram.weight[i];
    }
    return maxTokens;
}

} // namespace jacinthspindle::internal
