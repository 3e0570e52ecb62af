// Learned lengths of answers: a histogram over powers of two for each route and workspace, in which old answers fade.

#pragma once

#include "spindlecore/Types.h"

#include <array>
#include <map>
#include <utility>

namespace jacinthspindle::internal {

class LengthModel {
public:
    // An answer had this many tokens.
    void learn(const RouteId&, const WorkspaceId&, uint32_t tokens);

    // Expected tokens of the whole answer when position tokens are done already; at most maxTokens.
    double expected(const RouteId&, const WorkspaceId&, uint32_t position, uint32_t maxTokens) const;

    // Tokens that the given share of the answers does not exceed; at most maxTokens.
    double quantile(const RouteId&, const WorkspaceId&, double share, uint32_t maxTokens) const;

private:
    static constexpr size_t bucketCount = 16;
    struct Histogram {
        std::array<double, bucketCount> weight {}; // Of answers with 2^i <= tokens < 2^(i + 1).
        std::array<double, bucketCount> tokens {};
        double total = 0;
    };

    static size_t bucketOf(uint32_t tokens);
    static void add(Histogram&, uint32_t tokens);
    // The workspace's own answers, with those of the whole route as a prior.
    Histogram combined(const RouteId&, const WorkspaceId&) const;

    std::map<RouteId, Histogram> m_byRoute;
    std::map<std::pair<RouteId, WorkspaceId>, Histogram> m_byWorkspace;
};

} // namespace jacinthspindle::internal
