// Updates the length histograms and derives estimates from them.

#include "spindlecore/internal/LengthModel.h"

#include <algorithm>
#include <bit>

namespace jacinthspindle::internal {

namespace {

    // Factor on the weight of earlier answers for each new one. A histogram covers about 1 / (1 - decayFactor) answers.
    constexpr double decayFactor = 0.99;
    // The answers of the whole route together count as at most this many answers of the workspace.
    constexpr double priorWeight = 8;
    // Expected share of the allowed length as long as there is no data. It is small, so that requests aren't refused
    // merely because their length is unknown.
    constexpr double defaultLengthShare = 0.1;
    // With fewer answers a quantile would tell nothing about long answers.
    constexpr double minAnswersForQuantile = 5;
    // Bounds the memory if callers send made-up workspaces; the workspaces of the table are bounded by the table.
    constexpr size_t maxHistograms = 8192;

} // namespace

size_t LengthModel::bucketOf(uint32_t tokens)
{
    return std::min<size_t>(bucketCount - 1, std::bit_width(std::max(1U, tokens)) - 1);
}

void LengthModel::add(Histogram& histogram, uint32_t tokens)
{
    for (size_t i = 0; i < bucketCount; ++i) {
        histogram.weight[i] *= decayFactor;
        histogram.tokens[i] *= decayFactor;
    }
    size_t bucket = bucketOf(tokens);
    histogram.weight[bucket] += 1;
    histogram.tokens[bucket] += tokens;
    histogram.total = histogram.total * decayFactor + 1;
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
    auto ofWorkspace = m_byWorkspace.find({ route, workspace });
    if (ofWorkspace != m_byWorkspace.end())
        sum = ofWorkspace->second;
    auto ofRoute = m_byRoute.find(route);
    if (ofRoute == m_byRoute.end())
        return sum;
    double scale = std::min(1.0, priorWeight / std::max(1.0, ofRoute->second.total));
    for (size_t i = 0; i < bucketCount; ++i) {
        sum.weight[i] += ofRoute->second.weight[i] * scale;
        sum.tokens[i] += ofRoute->second.tokens[i] * scale;
    }
    sum.total += ofRoute->second.total * scale;
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
    // An answer longer than all recorded ones is expected to reach twice its present length.
    double value = weight > 1e-3 ? tokens / weight : position ? 2.0 * position : defaultLengthShare * maxTokens;
    return std::clamp(value, position + 1.0, limit);
}

double LengthModel::quantile(const RouteId& route, const WorkspaceId& workspace, double share, uint32_t maxTokens) const
{
    auto histogram = combined(route, workspace);
    if (histogram.total < minAnswersForQuantile)
        return defaultLengthShare * maxTokens;
    double sum = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        if (sum + histogram.weight[i] >= share * histogram.total && histogram.weight[i] > 0) {
            // Lengths are assumed to be evenly distributed within a bucket.
            double fraction = (share * histogram.total - sum) / histogram.weight[i];
            double low = static_cast<double>(uint64_t(1) << i);
            return std::min<double>(maxTokens, low * (1 + fraction));
        }
        sum += histogram.weight[i];
    }
    return maxTokens;
}

} // namespace jacinthspindle::internal
