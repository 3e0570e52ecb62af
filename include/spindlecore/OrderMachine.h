// Brings the engines of one data centre to what the table asks: one holder of the row order/<data centre> sends the
// orders, each with the fencing number of its claim on that row.

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

// An order that was or may be sent and that no status of the engine has confirmed yet.
struct OutstandingOrder {
    EndpointId endpoint;
    OrderKind kind = OrderKind::LoadVersion;
    std::string value; // Version, adapter, or the model of a role.
    LayerRange layers; // For ChangeRole.
    auto operator<=>(const OutstandingOrder&) const = default;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.kind, self.value, self.layers)
};

constexpr uint16_t orderLeaseFormat = 1;

// Value of the row order/<data centre>. An order is listed before it is sent, so that the next holder knows which
// engines may be out of service.
struct OrderLease {
    uint16_t format = orderLeaseFormat;
    HostId holder;
    uint64_t incarnation = 0;
    uint64_t fence = 0; // Rises with each change of the holder and each order, so that a late copy is told apart.
    std::vector<OutstandingOrder> outstanding;
    bool operator==(const OrderLease&) const = default;
    JACINTHSPINDLE_FIELDS(self.format, self.holder, self.incarnation, self.fence, self.outstanding)
};

std::string orderLeaseKey(const DataCentreId&);

struct OrderConfig {
    HostId host;
    uint64_t incarnation = 0;
    DataCentreId dataCentre;
    uint32_t maxInFlight = 2; // Orders that may load from the weight store at once in this data centre.
    // An observer takes the lease over when the row has not changed for this long while work is left. The time decides
    // only when a takeover is tried, never whether it is safe.
    Duration takeoverAfter = std::chrono::seconds(15);
    Duration readEvery = std::chrono::seconds(5); // For observers, while work is left.
    Duration renewEvery = std::chrono::seconds(5); // For the holder, while work is left.
    Duration retryEvery = std::chrono::seconds(5); // Between repetitions of an order that was not confirmed.
    Duration statusExpires = std::chrono::seconds(5); // Without a newer status an engine counts as out of service.
    JACINTHSPINDLE_FIELDS(self.host, self.incarnation, self.dataCentre, self.maxInFlight, self.takeoverAfter,
        self.readEvery, self.renewEvery, self.retryEvery, self.statusExpires)
};

// ---- Inputs.

struct OrderTableAdopted {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// What an engine says of itself when it is asked directly, or that it could not be asked.
struct EngineSeen {
    EndpointId endpoint;
    bool isReachable = false; // It answered and is not leaving; orders make sense.
    bool isServing = false; // It also takes requests: it is not loading.
    std::string version;
    std::vector<std::string> adapters;
    LayerRange layers;
    uint64_t asOf = 0; // OrderMachine::statusMark() before the engine was asked.
    JACINTHSPINDLE_FIELDS(
        self.endpoint, self.isReachable, self.isServing, self.version, self.adapters, self.layers, self.asOf)
};

// The answer to ReadLease. A row that was found but not decoded is damaged; nothing is ordered over it.
struct LeaseRead {
    uint32_t step = 0;
    ReadOutcome outcome = ReadOutcome::Unavailable;
    std::optional<OrderLease> lease;
    uint64_t version = 0;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome, self.lease, self.version)
};

struct LeaseAnswered {
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

using OrderInput = std::variant<OrderTableAdopted, EngineSeen, LeaseRead, LeaseAnswered, OrderAnswered, OrderTick>;

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

// Send the order at once, at most once. It follows directly on the answer to a WriteLease that lists it.
struct SendOrder {
    uint32_t step = 0;
    OutstandingOrder order;
    std::string address;
    uint64_t fence = 0;
    bool operator==(const SendOrder&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.order, self.address, self.fence)
};

// LastCoverage: the engine is the last one in service for one of its layers. NotIdempotent: the order changes a role
// and the engine does not check fencing numbers.
enum class WithheldReason : uint8_t { LastCoverage, NotIdempotent };

// The order is wanted but not sent; reported once for as long as this stays so.
struct OrderWithheld {
    OutstandingOrder order;
    WithheldReason reason = WithheldReason::LastCoverage;
    bool operator==(const OrderWithheld&) const = default;
    JACINTHSPINDLE_FIELDS(self.order, self.reason)
};

using OrderOutput = std::variant<ReadLease, WriteLease, SendOrder, OrderWithheld>;

namespace internal {
    // Faults that tests plant to show that they would be found. Product code never sets one.
    struct OrderMutations {
        bool sendWithoutLease = false; // Sends on a lease believed valid, without the conditional write.
        bool keepFence = false; // Sends each order with the same fencing number.
        bool ignoreCoverage = false;
        bool ignoreOutstanding = false; // Forgets the orders of the previous holder.
        bool unboundedInFlight = false;
        bool confirmByOldStatus = false;
        bool useOldStatus = false; // Counts engines as in service by what was seen before the takeover.
    };
} // namespace internal

// One per daemon, on the control thread.
class OrderMachine {
public:
    explicit OrderMachine(OrderConfig, internal::OrderMutations = {});

    // At most one ReadLease, WriteLease or SendOrder is unanswered at a time.
    std::vector<OrderOutput> apply(Instant now, const OrderInput&);

    // The row named this machine as the holder when it was last read or written. For display only.
    bool isHolder() const { return m_isHolder; }
    // Rises with each claim of the lease and each answered order; tells which statuses are newer than those.
    uint64_t statusMark() const { return m_mark; }
    const std::vector<OutstandingOrder>& outstanding() const { return m_lease.outstanding; }

private:
    struct Engine {
        EngineSeen seen;
        Instant at {};
    };
    // What this holder knows of its order to an endpoint.
    struct Sent {
        uint64_t mark = 0; // statusMark() after the answer; 0 before it.
        OrderOutcome outcome = OrderOutcome::Unknown;
        Instant at {};
    };
    enum class Waiting : uint8_t { Nothing, Read, Claim, Renewal, Order };
    // Number of endpoints in service for each layer of a model in one version.
    using Coverage = std::map<std::pair<std::string, std::string>, std::map<uint32_t, uint32_t>>;

    void handle(Instant, const OrderTableAdopted&);
    void handle(Instant, const EngineSeen&);
    void handle(Instant, const LeaseRead&);
    void handle(Instant, const LeaseAnswered&);
    void handle(Instant, const OrderAnswered&);
    void handle(Instant, const OrderTick&) { }
    void onWritten(Instant);
    void proceed(Instant);
    void proceedAsHolder(Instant);
    void readLease(Instant);
    void takeOver();
    void writeLease(Waiting, OrderLease);
    void sendListedOrder(Instant);
    void withhold(const OutstandingOrder&, WithheldReason);
    void doubtLease(Instant nextRead);

    bool hasWork() const;
    bool isOwnEngine(const EndpointRow&) const;
    std::optional<OutstandingOrder> wantedOrder(const EndpointRow&) const;
    std::optional<OutstandingOrder> repeatedOrder(Instant) const;
    std::optional<OutstandingOrder> newOrder(Instant);
    std::optional<WithheldReason> reasonToWithhold(const EndpointRow&, const OutstandingOrder&, const Coverage&) const;
    bool isLastCoverage(const EndpointRow&, const OutstandingOrder&, const Coverage&) const;
    bool isConfirmed(const OutstandingOrder&) const;
    const OutstandingOrder* findOutstanding(const EndpointId&) const;
    bool mayRepeat(Instant, const EndpointId&) const;
    bool isFresh(Instant, const EndpointId&) const;
    bool isInService(Instant, const EndpointRow&) const;
    Coverage coverage(Instant) const;
    bool isProtected(const std::string& target, const std::string& version, const Coverage&) const;

    OrderConfig m_config;
    internal::OrderMutations m_mutations;
    std::shared_ptr<const Table> m_table;
    std::map<EndpointId, Engine> m_engines;
    OrderLease m_lease; // As last read or written.
    uint64_t m_leaseVersion = 0; // Lowest version that the row can have with m_lease in it.
    bool m_isLeaseKnown = false;
    bool m_isHolder = false; // Implies m_isLeaseKnown.
    uint64_t m_holderMark = 0; // statusMark() after the claim; older statuses may miss orders of earlier holders.
    OrderLease m_writing; // In flight while waiting for Claim or Renewal.
    std::optional<OutstandingOrder> m_toSend; // Listed in m_writing; sent once that is committed.
    std::map<EndpointId, Sent> m_sent; // Orders of this holder that were sent under the present claim.
    std::map<EndpointId, Instant> m_retryAt; // After an order failed.
    std::map<EndpointId, WithheldReason> m_withheld;
    Waiting m_waiting = Waiting::Nothing;
    EndpointId m_sending;
    uint32_t m_step = 0;
    uint64_t m_mark = 0;
    Instant m_leaseChangedAt {}; // When this machine first saw m_leaseVersion.
    Instant m_nextRead {};
    Instant m_nextWrite {};
    Instant m_nextRenewal {};
    std::vector<OrderOutput> m_outputs; // Of the running apply().
};

} // namespace jacinthspindle
