// The state of the decision core: requests, endpoint pools, limits and measured estimates.

#pragma once

#include "spindlecore/DecisionCore.h"
#include "spindlecore/internal/ChainPlanner.h"
#include "spindlecore/internal/DispatchGate.h"
#include "spindlecore/internal/FairQueue.h"
#include "spindlecore/internal/LengthModel.h"
#include "spindlecore/internal/PressureGate.h"
#include "spindlecore/internal/RateLimiter.h"
#include "spindlecore/internal/RetryBudget.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jacinthspindle::internal {

// Requests with at least this many expected tokens count as long; they have their own queue lane and a slot limit. So
// have long prompts of ranked requests; see CoreState::hasLongPrompt().
constexpr double longRequestTokens = 400;

// What this daemon measured of the requests of one route.
struct RouteEstimate {
    // A measurement corrects the average for this long; after that the estimate is tested by a probe.
    static constexpr Duration validity = std::chrono::milliseconds(2000);
    // Without a request for this long the estimate is forgotten.
    static constexpr Duration lifetime = std::chrono::seconds(60);

    Duration timeout {}; // Of the route. With another one the route begins anew.
    double callSeconds = 0.05; // Average duration of a call to a plain service, in seconds.
    Instant measuredAt {}; // Of the last call, or of a model's prompt, that corrected an estimate.
    Instant probedAt {};
    Instant arrivedAt {}; // Of the last request.
    uint32_t active = 0; // Admitted requests that wait or run.

    bool isStale(Instant now) const { return now - measuredAt >= validity; }
};

// The endpoints of one target, version and adapter, with the queue of requests for them.
struct PoolState {
    RouteRow route; // First route of the pool. Routes with the same kind, target, version, adapter and layers share it.
    Pool pool;
    uint64_t generation = 0; // EndpointRegistry::generation() when the pool was built.
    DispatchGate gate;
    std::map<uint8_t, FairQueue> queues; // By priority; all requests of an unranked pool have the same.
    RetryBudget retries;
    uint32_t running = 0;
    uint32_t runningLong = 0;
    double slots = 0; // Smallest number of slots for any layer.
    double secondsPerToken = 0; // Average time between tokens, in seconds; 0 before the first measurement.
    double secondsPerPromptToken = 0; // Average time per prompt token, in seconds; 0 before the first measurement.
    double promptTokens = 0; // Average length of the prompts of ranked requests; 0 before the first one.
    std::map<RouteId, std::shared_ptr<RouteEstimate>> estimates {}; // Of routes with requests in recent time.
    double shortDemand = 0; // Slot seconds that short requests need per second, averaged.
    double shortDemandSinceTick = 0; // Slot seconds of the short requests that arrived since the last Tick.
    double longThreshold = 0.5; // Uniform in [0, 1); rounds the limit of long requests up or down at random.
    bool isReferenced = true; // By a route of the current table.
    std::optional<PressureGate> pressure {}; // Of a ranked pool, whose requests differ in priority.

    size_t queued() const;
};

struct ActiveRequest {
    RequestArrived arrival;
    std::shared_ptr<PoolState> pool; // Fixed at arrival, so that all attempts use the same version.
    std::shared_ptr<RouteEstimate> estimate; // Of the route, and its timeout, as they were at arrival.
    bool isProbe = false; // Admitted although the estimate says that it will be late; see CoreState::mayProbe().
    Instant deadline {};
    Instant arrivedAt {};
    double weight = 1;
    bool isCounted = false; // Whether the request is included in WorkspaceLimits::active.

    uint32_t attempt = 0; // Number of the current attempt; 0 while the request waits for a slot.
    Chain chain;
    std::vector<EndpointIndex> hops; // The endpoints of the chain; empty when no slots are held.
    std::vector<EndpointIndex> excluded; // Endpoints at fault in earlier attempts.
    Instant dispatchedAt {};
    Instant progressAt {}; // Time of the dispatch, of the last reported token or of the last raise of the priority.
    bool hasFirstToken = false;
    uint32_t position = 0; // Position of the next token.
    uint32_t startPosition = 0; // Position at which the attempt started.
    double expectedTokens = 0;
    double rateChargedTokens = 0; // Answer length charged to the workspace's token limit at admission.
    uint32_t chargedPosition = 0; // Tokens before this position are charged to the workspace's flow in the fair queue.
    double plannedPromptTokens = 0; // Prompt tokens to process, without those of an expected cache hit.
    double plannedFirstTokenSeconds = 0; // Estimated time from the dispatch to the first token.
    bool expectsHit = false; // Whether the plan counts on a prefix cache hit.
    bool isLong = false;
    uint8_t priority = 0; // Of the running attempt; falls as an answer gets long, but not in a ranked pool.
    uint8_t rank = 0; // Its queue in the pool: the priority with which a ranked request is admitted; otherwise 0.
    uint8_t ownPriority = 0; // Of a ranked request, before it was raised.
    Duration target {}; // Time from the arrival within which the first event is due; 0: not ranked.

    bool isRanked() const { return target > Duration::zero(); }
    FairQueue& queue() const { return pool->queues[rank]; }
};

// The limits of one workspace at this daemon. Only dimensions with a limit in the table are enforced.
struct WorkspaceLimits {
    RateLimiter requests;
    RateLimiter tokens;
    double concurrency = 0;
    bool hasShare = false; // Until a share arrives, the whole limit of the table applies to this daemon.
    uint32_t active = 0; // Admitted requests that wait or run.
};

class CoreState {
public:
    explicit CoreState(const CoreConfig&);

    using Decisions = std::vector<CoreDecision>;
    void apply(Instant, const RequestArrived&, Decisions&);
    void apply(Instant, const FirstToken&, Decisions&);
    void apply(Instant, const TokensProgressed&, Decisions&);
    void apply(Instant, const AttemptFailed&, Decisions&);
    void apply(Instant, const AttemptStalled&, Decisions&);
    void apply(Instant, const RequestFinished&, Decisions&);
    void apply(Instant, const CallerGone&, Decisions&);
    void apply(Instant, const LoadReported&, Decisions&);
    void apply(Instant, const CacheChanged&, Decisions&);
    void apply(Instant, const EndpointStateReported&, Decisions&);
    void apply(Instant, const TableAdopted&, Decisions&);
    void apply(Instant, const ShareChanged&, Decisions&);
    void apply(Instant, const RetryReserveChanged&, Decisions&);
    void apply(Instant, const AcceleratorsDeclared&, Decisions&);
    void apply(Instant, const PeersCounted&, Decisions&);
    void apply(Instant, const PaceReported&, Decisions&);
    void apply(Instant, const RankedArrival&, Decisions&);
    void apply(Instant, const PressureReported&, Decisions&);
    void apply(Instant, const RoutedArrival&, Decisions&);
    void apply(Instant, const DrainStarted&, Decisions&);
    void apply(Instant, const Tick&, Decisions&);
    CoreStatus status() const;
    std::vector<EndpointLoad> ownLoad() const;
    std::vector<ModelPressure> ownPressure() const;
    std::vector<ModelAdmission> admission() const;

private:
    using Requests = std::map<RequestId, ActiveRequest>;

    // Admission.cpp
    ResultCode checkArrival(const RequestArrived&) const;
    // The request has its arrival, and priority and target if it is ranked. route and timeout: what its estimate is
    // kept for; without a timeout, that of the table's route.
    void admit(Instant, ActiveRequest, const RouteId& route, Duration timeout, Decisions&);
    static std::shared_ptr<RouteEstimate> findOrAddEstimate(Instant, PoolState&, const RouteId&, Duration timeout);
    static bool mayProbe(Instant, const ActiveRequest&, double wait);
    std::optional<Duration> limitWait(Instant, const ActiveRequest&);
    void chargeLimits(Instant, ActiveRequest&);
    void refuse(Instant, const RequestId&, ResultCode, Duration wait, Decisions&);
    void refuseQueued(Instant, const RequestId&, ResultCode, Duration wait, Decisions&);
    void estimateLength(ActiveRequest&) const;
    double serviceSeconds(const ActiveRequest&, double tokens) const;
    bool canMeetDeadline(Instant, const ActiveRequest&, double wait) const;
    double maxWait(const ActiveRequest&, bool isFirst) const;
    double expectedWait(const ActiveRequest&) const;
    bool passPressure(ActiveRequest&);
    bool hasLongPrompt(const ActiveRequest&);
    double freedSlots(const PoolState&) const;
    void dispatchQueued(Instant, PoolState&, Decisions&);
    // Returns false when no slot is free.
    bool dispatchQueue(Instant, PoolState&, uint8_t rank, FairQueue&, Decisions&);
    // Whether the slots that are free are kept for requests of a higher rank.
    bool isReserved(Instant, const PoolState&, uint8_t rank) const;
    // Result of trying to start the first request of a lane, in this order: it left the queue, dispatched or refused;
    // it has to wait, but another lane may be tried; no slot is free.
    enum class QueueResult : uint8_t { Dequeued, LaneBlocked, NoSlot };
    QueueResult tryDispatchFirst(Instant, PoolState&, FairQueue::Flow&, size_t lane, Decisions&);
    bool mayStartLong(const PoolState&) const;
    void refuseAllQueued(Instant, PoolState&, Decisions&);
    void refuseLate(Instant, PoolState&, Decisions&);

    // CoreState.cpp
    bool dispatch(Instant, ActiveRequest&, uint32_t position, bool needsFreeSlot, Decisions&);
    void takeSlots(Instant, ActiveRequest&);
    void releaseSlots(Instant, ActiveRequest&);
    void remove(Requests::iterator);
    void learnFirstToken(Instant, ActiveRequest&);
    void learnCall(Instant, ActiveRequest&);
    void updateLength(ActiveRequest&, Decisions&);
    void chargeProgress(ActiveRequest&, uint32_t position);
    void raiseStarvedPriorities(Instant, Decisions&);
    void updatePressure(Instant, Duration sinceLast);
    void refreshPool(PoolState&);
    void abandon(Requests::iterator, ResultCode, Decisions&);
    Duration jittered(double seconds);
    ActiveRequest* findAttempt(const RequestId&, uint32_t attempt);

    CoreConfig m_config;
    std::mt19937_64 m_random;
    std::shared_ptr<const Table> m_table;
    bool m_refuseNew = false;
    Requests m_requests;
    EndpointRegistry m_endpoints;
    ServiceModel m_model;
    PrefixIndex m_prefixes;
    LengthModel m_lengths;
    ChainPlanner m_planner;
    double m_retryReserve; // Retries per pool and RetryBudget::window.
    uint64_t m_subsetSeed = 0;
    std::map<std::string, std::shared_ptr<PoolState>> m_pools; // By poolKey().
    std::map<RouteId, std::shared_ptr<PoolState>> m_poolOfRoute;
    std::map<WorkspaceId, WorkspaceLimits> m_limits;
    Instant m_lastTick {};
    Instant m_lastRedraw {};
    CoreStatus m_status;
};

} // namespace jacinthspindle::internal
