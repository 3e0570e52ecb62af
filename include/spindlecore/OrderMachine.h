// Reconciles the engines of one data centre with the table. Only the daemon that holds the lease stored in the row
// order/<data centre> sends orders, and each order carries a fencing token from that row.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Ports.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthspindle {

// An order that was sent, or may have been sent, and is not yet confirmed by a status of its engine.
struct OutstandingOrder {
    EndpointId endpoint;
    OrderKind kind = OrderKind::LoadVersion;
    std::string value; // LoadVersion: the version; LoadAdapter: the adapter; ChangeRole: the model.
    LayerRange layers; // ChangeRole only.
    auto operator<=>(const OutstandingOrder&) const = default;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.kind, self.value, self.layers)
};

constexpr uint16_t orderLeaseFormat = 1;

// Value of the row order/<data centre>. The holder records each order here before it sends it, so that the next holder
// can tell which engines may be out of service.
struct OrderLease {
    uint16_t format = orderLeaseFormat;
    HostId holder;
    uint64_t incarnation = 0;
    uint64_t fence
        = 0; // Fencing token, increased by each claim and each order. Engines reject orders with a lower one.
    std::vector<OutstandingOrder> outstanding;
    bool operator==(const OrderLease&) const = default;
    JACINTHSPINDLE_FIELDS(self.format, self.holder, self.incarnation, self.fence, self.outstanding)
};

std::string orderLeaseKey(const DataCentreId&);

struct OrderConfig {
    HostId host;
    uint64_t incarnation = 0;
    DataCentreId dataCentre;
    uint32_t maxInFlight = 2; // Limit of outstanding orders in this data centre; each may load from the weight store.
    // While work is left, a daemon that does not hold the lease claims it once the row has not changed for this long.
    // Safety does not depend on this time: it only decides when a takeover is attempted.
    Duration takeoverAfter = std::chrono::seconds(15);
    Duration readEvery = std::chrono::seconds(5); // Interval of lease reads by other daemons while work is left.
    Duration renewEvery = std::chrono::seconds(5); // Interval of lease renewals by the holder while work is left.
    // Delay before an unconfirmed or failed order, or a failed write of the lease, is repeated.
    Duration retryEvery = std::chrono::seconds(5);
    Duration statusExpires = std::chrono::seconds(5); // Engines with an older status count as out of service.
    JACINTHSPINDLE_FIELDS(self.host, self.incarnation, self.dataCentre, self.maxInFlight, self.takeoverAfter,
        self.readEvery, self.renewEvery, self.retryEvery, self.statusExpires)
};

// ---- Inputs.

struct OrderTableAdopted {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// The result of a status request sent directly to an engine, including a request that failed.
struct EngineSeen {
    EndpointId endpoint;
    bool isReachable = false; // The engine answered and is not leaving, so it can carry out orders.
    bool isServing = false; // The engine also accepts requests, that is, it is not loading.
    std::string version;
    std::vector<std::string> adapters;
    LayerRange layers;
    uint64_t clockAtRequest = 0; // OrderMachine::logicalClock() before the status request was sent.
    JACINTHSPINDLE_FIELDS(
        self.endpoint, self.isReachable, self.isServing, self.version, self.adapters, self.layers, self.clockAtRequest)
};

// The answer to ReadLease. A row that was found but could not be decoded is damaged: outcome is Found and lease is
// empty. The machine neither overwrites such a row nor sends orders.
struct LeaseRead {
    uint32_t step = 0;
    ReadOutcome outcome = ReadOutcome::Unavailable;
    std::optional<OrderLease> lease;
    uint64_t version = 0;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome, self.lease, self.version)
};

struct LeaseWriteAnswered {
    uint32_t step = 0;
    CommitOutcome outcome = CommitOutcome::Unknown;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome)
};

struct OrderAnswered {
    uint32_t step = 0;
    OrderOutcome outcome = OrderOutcome::Unknown;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome)
};

struct OrderTick {
    uint32_t number = 0;
    JACINTHSPINDLE_FIELDS(self.number)
};

using OrderInput = std::variant<OrderTableAdopted, EngineSeen, LeaseRead, LeaseWriteAnswered, OrderAnswered, OrderTick>;

// ---- Outputs.

struct ReadLease {
    uint32_t step = 0;
    std::string key;
    bool operator==(const ReadLease&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.key)
};

struct WriteLease {
    uint32_t step = 0;
    std::string key;
    uint64_t expectedVersion = 0;
    OrderLease lease;
    bool operator==(const WriteLease&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.key, self.expectedVersion, self.lease)
};

// Sends the order immediately and at most once. Emitted directly after the commit of the WriteLease that records the
// order.
struct SendOrder {
    uint32_t step = 0;
    OutstandingOrder order;
    std::string address;
    uint64_t fence = 0;
    bool operator==(const SendOrder&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.order, self.address, self.fence)
};

// LastCoverage: the engine is the last one in service for one of its layers. NotIdempotent: the order changes a role
// and the engine does not check fencing tokens.
enum class WithheldReason : uint8_t { LastCoverage, NotIdempotent };

// An order that the table requires but that is not sent. Reported once for each endpoint until the reason changes or
// the order is sent or no longer required.
struct OrderWithheld {
    OutstandingOrder order;
    WithheldReason reason = WithheldReason::LastCoverage;
    bool operator==(const OrderWithheld&) const = default;
    JACINTHSPINDLE_FIELDS(self.order, self.reason)
};

using OrderOutput = std::variant<ReadLease, WriteLease, SendOrder, OrderWithheld>;

namespace internal {
    // Faults that tests inject to check that they are detected. Production code never sets them.
    struct OrderMutations {
        bool sendWithoutLease = false; // Sends orders without the conditional write that proves the lease.
        bool keepFence = false; // Never increases the fencing token.
        bool ignoreCoverage = false; // Sends orders to the last engine in service for a layer.
        bool ignoreOutstanding = false; // Drops the outstanding orders of the previous holder.
        bool unboundedInFlight = false; // Ignores OrderConfig::maxInFlight.
        bool confirmByOldStatus = false; // Confirms orders by a status requested before they were answered.
        bool useOldStatus = false; // Counts engines as in service by a status requested before the takeover.
    };
} // namespace internal

// State machine of the order protocol. It performs no I/O: apply() takes inputs and returns the requests to carry out.
// One instance per daemon, used on the control thread only.
class OrderMachine {
public:
    explicit OrderMachine(OrderConfig, internal::OrderMutations = {});

    // Returns the requests that follow from the input. At most one ReadLease, WriteLease or SendOrder is unanswered at
    // a time.
    std::vector<OrderOutput> apply(Instant now, const OrderInput&);

    // Whether the row named this machine as the holder when it was last read or written. For display only: another
    // daemon may have taken over since.
    bool isHolder() const { return m_isHolder; }
    // Increases with each claim of the lease and each answered order. A status carries the value from before its
    // request, which shows whether it is newer than a claim or an answer.
    uint64_t logicalClock() const { return m_logicalClock; }
    const std::vector<OutstandingOrder>& outstanding() const { return m_lease.outstanding; }

private:
    struct Engine {
        EngineSeen seen;
        Instant at {};
    };
    // The last order that this holder sent to an endpoint.
    struct SentOrderState {
        uint64_t clockAtAnswer = 0; // logicalClock() after the answer; 0 while unanswered.
        OrderOutcome outcome = OrderOutcome::Unknown;
        Instant at {};
    };
    enum class PendingReply : uint8_t { Nothing, Read, Claim, Renewal, Order };
    // Number of endpoints in service per layer, by model and version.
    using Coverage = std::map<std::pair<std::string, std::string>, std::map<uint32_t, uint32_t>>;

    void handle(Instant, const OrderTableAdopted&);
    void handle(Instant, const EngineSeen&);
    void handle(Instant, const LeaseRead&);
    void handle(Instant, const LeaseWriteAnswered&);
    void handle(Instant, const OrderAnswered&);
    void handle(Instant, const OrderTick&) { }
    void onLeaseWritten(Instant);
    void runNextStep(Instant);
    void runNextHolderStep(Instant);
    void readLease(Instant);
    void claimLease();
    void writeLease(PendingReply, OrderLease);
    void sendRecordedOrder(Instant);
    void withhold(const OutstandingOrder&, WithheldReason);
    void invalidateLease(Instant nextRead);

    bool hasWork() const;
    bool isManagedEngine(const EndpointRow&) const;
    std::optional<OutstandingOrder> requiredOrder(const EndpointRow&) const;
    std::optional<OutstandingOrder> orderToResend(Instant) const;
    std::optional<OutstandingOrder> newOrder(Instant);
    std::optional<WithheldReason> reasonToWithhold(const EndpointRow&, const OutstandingOrder&, const Coverage&) const;
    bool isLastCoverage(const EndpointRow&, const OutstandingOrder&, const Coverage&) const;
    bool isConfirmed(const OutstandingOrder&) const;
    const OutstandingOrder* findOutstanding(const EndpointId&) const;
    bool mayResend(Instant, const EndpointId&) const;
    bool isFresh(Instant, const EndpointId&) const;
    bool isInService(Instant, const EndpointRow&) const;
    Coverage coverage(Instant) const;
    bool isProtected(const std::string& target, const std::string& version, const Coverage&) const;

    OrderConfig m_config;
    internal::OrderMutations m_mutations;
    std::shared_ptr<const Table> m_table;
    std::map<EndpointId, Engine> m_engines;
    OrderLease m_lease; // Contents of the row as last read or written.
    uint64_t m_leaseVersion = 0; // Lower bound on the version of the row that contains m_lease.
    bool m_isLeaseKnown = false;
    bool m_isHolder = false; // Implies m_isLeaseKnown.
    // logicalClock() after the claim. Older statuses may not show orders of earlier holders.
    uint64_t m_clockAtClaim = 0;
    OrderLease m_pendingLease; // The lease being written while a Claim or Renewal is unanswered.
    // Recorded in m_pendingLease; sent once that write is committed.
    std::optional<OutstandingOrder> m_pendingOrder;
    std::map<EndpointId, SentOrderState> m_sentOrders; // Orders sent under the current claim.
    std::map<EndpointId, Instant> m_retryAt; // Earliest time of a new order after a failed one.
    std::map<EndpointId, WithheldReason> m_withheld;
    PendingReply m_pendingReply = PendingReply::Nothing;
    EndpointId m_pendingReceiver; // Receiver of the unanswered order.
    uint32_t m_step = 0; // Number of the last request; answers to earlier ones are ignored.
    uint64_t m_logicalClock = 0;
    Instant m_leaseChangedAt {}; // When this machine first read or wrote m_leaseVersion.
    Instant m_nextRead {};
    Instant m_nextWrite {};
    Instant m_nextRenewal {};
    std::vector<OrderOutput> m_outputs; // Result of the current apply() call.
};

} // namespace jacinthspindle
