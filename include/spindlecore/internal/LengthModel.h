// Predicts the length of answers from a histogram with power-of-two buckets per route and workspace. The weight of
// older answers decays.

#pragma once

#include "spindlecore/Types.h"

#include <array>
#include <map>
#include <utility>

namespace jacinthspindle::internal {

class LengthModel {
public:
    // Adds the length of a finished answer.
    void learn(const RouteId&, const WorkspaceId&, uint32_t tokens);

    // Expected total tokens of an answer of which position tokens have been generated; at most maxTokens, but always
    // more than position.
    double expected(const RouteId&, const WorkspaceId&, uint32_t position, uint32_t maxTokens) const;

    // Length in tokens that the given share of the answers (0 to 1) does not exceed; at most maxTokens.
    double quantile(const RouteId&, const WorkspaceId&, double share, uint32_t maxTokens) const;

private:
    static constexpr size_t bucketCount = 16;
    struct Histogram {
        // Bucket i counts the answers with 2^i <= tokens < 2^(i + 1); the last bucket has no upper bound.
        std::array<double, bucketCount> weight {}; // Decayed number of answers.
        std::array<double, bucketCount> tokens {}; // Decayed sum of their tokens.
        double total = 0; // Decayed number of all answers.
    };

    static size_t bucketOf(uint32_t tokens);
    static void add(Histogram&, uint32_t tokens);
    // Returns the answers of the workspace together with those of the whole route as a prior.
    Histogram combined(const RouteId&, const WorkspaceId&) const;

    std::map<RouteId, Histogram> m_byRoute;
    std::map<std::pair<RouteId, WorkspaceId>, Histogram> m_byWorkspace;
};

} // namespace jacinthspindle::internal
