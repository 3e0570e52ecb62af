// The state of the decision core: requests, pools of endpoints, limits and what was learned.

#pragma once

#include "spindlecore/DecisionCore.h"
#include "spindlecore/internal/ChainPlanner.h"
#include "spindlecore/internal/DispatchGate.h"
#include "spindlecore/internal/FairQueue.h"
#include "spindlecore/internal/LengthModel.h"
#include "spindlecore/internal/RateLimiter.h"
#include "spindlecore/internal/RetryBudget.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jacinthspindle::internal {

// Work with at least this many expected tokens is long.
constexpr double longTokens = 400;

// The endpoints of one target, version and adapter, and the requests that wait for them.
struct PoolState {
    RouteRow route; // Names target, version, adapter and layers; routes with the same ones share the pool.
    Pool pool;
    uint64_t generation = 0; // Of the endpoint book when the pool was built.
    DispatchGate gate;
    FairQueue queue;
    RetryBudget retries;
    uint32_t running = 0;
    uint32_t runningLong = 0;
    double slots = 0;
    double perToken = 0; // Measured seconds between tokens; 0 before the first measurement.
    double perPromptToken = 0;
    double callSeconds = 0.05; // Measured seconds of a call of a plain service.
    double shortDemand = 0; // Seconds of slots per second that short work asks for.
    double shortDemandSinceTick = 0;
    double longThreshold = 0.5; // Uniform in [0, 1); rounds the cap of long work.
    bool isReferenced = true; // By a route of the table in force.
};

struct ActiveRequest {
    RequestArrived arrival;
    std::shared_ptr<PoolState> pool; // Stays with the version that the request began with.
    Instant deadline {};
    Instant arrivedAt {};
    double weight = 1;
    bool isCounted = false; // In WorkspaceLimits::active.

    uint32_t attempt = 0; // 0 while it waits.
    Chain chain;
    std::vector<EndpointIndex> hops;
    std::vector<EndpointIndex> avoid; // Endpoints at fault in earlier attempts.
    Instant dispatchedAt {};
    Instant progressAt {}; // Of the last token that was reported.
    bool hasFirstToken = false;
    uint32_t position = 0;
    uint32_t startPosition = 0; // Of the attempt.
    double expectedTokens = 0;
    double estimatedTokens = 0; // Charged to the rate limit of the workspace at admission.
    uint32_t chargedPosition = 0; // Up to which tokens are charged to the workspace's flow.
    double plannedPrompt = 0;
    double plannedFirst = 0;
    bool expectsHit = false;
    bool isLong = false;
    uint8_t priority = 0;
};

// The limits of one workspace at this daemon; a dimension without a limit in the table is not enforced.
struct WorkspaceLimits {
    RateLimiter requests;
    RateLimiter tokens;
    double concurrency = 0;
    bool hasShare = false;
    uint32_t active = 0;
};

class CoreState {
public:
    explicit CoreState(const CoreConfig&);

    using Decisions = std::vector<CoreDecision>;
    void apply(Instant, const RequestArrived&, Decisions&);
    void apply(Instant, const FirstToken&, Decisions&);
    void apply(Instant, const TokensProgressed&, Decisions&);
    void apply(Instant, const AttemptFailed&, Decisions&);
    void apply(Instant, const RequestFinished&, Decisions&);
    void apply(Instant, const CallerGone&, Decisions&);
    void apply(Instant, const LoadReported&, Decisions&);
    void apply(Instant, const CacheChanged&, Decisions&);
    void apply(Instant, const EndpointStateSeen&, Decisions&);
    void apply(Instant, const TableAdopted&, Decisions&);
    void apply(Instant, const ShareChanged&, Decisions&);
    void apply(Instant, const RetryReserveChanged&, Decisions&);
    void apply(Instant, const AcceleratorsDeclared&, Decisions&);
    void apply(Instant, const PeersCounted&, Decisions&);
    void apply(Instant, const PaceReported&, Decisions&);
    void apply(Instant, const DrainStarted&, Decisions&);
    void apply(Instant, const Tick&, Decisions&);
    CoreStatus status() const;
    std::vector<EndpointLoad> ownLoad() const;

private:
    using Requests = std::map<RequestId, ActiveRequest>;

    // Admission.cpp
    ResultCode checkArrival(const RequestArrived&) const;
    std::optional<Duration> limitWait(Instant, const ActiveRequest&);
    void chargeLimits(Instant, ActiveRequest&);
    void refuse(Instant, const RequestId&, ResultCode, Duration wait, Decisions&);
    void refuseQueued(Instant, const RequestId&, ResultCode, Duration wait, Decisions&);
    void estimate(ActiveRequest&) const;
    double serviceSeconds(const ActiveRequest&, double tokens) const;
    bool canBeOnTime(Instant, const ActiveRequest&, double wait) const;
    double maxWait(const ActiveRequest&, bool isFirst) const;
    double freedSlots(const PoolState&) const;
    void pump(Instant, PoolState&, Decisions&);
    enum class Taken : uint8_t { Yes, Skip, Stop };
    Taken tryFirst(Instant, PoolState&, FairQueue::Flow&, size_t lane, Decisions&);
    bool mayStartLong(const PoolState&) const;
    void refuseAll(Instant, PoolState&, Decisions&);
    void refuseLate(Instant, PoolState&, Decisions&);

    // CoreState.cpp
    bool dispatch(Instant, ActiveRequest&, uint32_t position, bool needsRoom, Decisions&);
    void release(Instant, ActiveRequest&);
    void remove(Requests::iterator);
    void learnFirstToken(Instant, ActiveRequest&);
    void updateLength(ActiveRequest&, Decisions&);
    void chargeProgress(ActiveRequest&, uint32_t position);
    void promoteWaiting(Instant, Decisions&);
    void refresh(PoolState&);
    void abandon(Requests::iterator, ResultCode, Decisions&);
    Duration jittered(double seconds);
    ActiveRequest* findAttempt(const RequestId&, uint32_t attempt);

    CoreConfig m_config;
    std::mt19937_64 m_random;
    std::shared_ptr<const Table> m_table;
    bool m_refuseNew = false;
    Requests m_requests;
    EndpointBook m_book;
    ServiceModel m_model;
    PrefixIndex m_prefixes;
    LengthModel m_lengths;
    ChainPlanner m_planner;
    double m_retryReserve; // Per pool and window; see RetryBudget.
    uint64_t m_subsetSeed = 0;
    std::map<std::string, std::shared_ptr<PoolState>> m_pools; // By target, version and adapter.
    std::map<RouteId, std::shared_ptr<PoolState>> m_poolOfRoute;
    std::map<WorkspaceId, WorkspaceLimits> m_limits;
    Instant m_lastTick {};
    Instant m_lastRedraw {};
    CoreStatus m_status;
};

} // namespace jacinthspindle::internal
