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
    uint64_t fence = 0; // Rises with each change of the holder.
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

// What an engine reports, or that it could not be asked.
struct EngineSeen {
    EndpointId endpoint;
    bool isServing = false; // Reachable, not leaving and not loading.
    std::string version;
    std::vector<std::string> adapters;
    LayerRange layers;
    uint64_t asOf = 0; // OrderMachine::ordersAnswered() when the engine was asked.
    JACINTHSPINDLE_FIELDS(self.endpoint, self.isServing, self.version, self.adapters, self.layers, self.asOf)
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
        bool keepFenceOnTakeover = false;
        bool ignoreCoverage = false;
        bool ignoreOutstanding = false; // Forgets the orders of the previous holder.
        bool unboundedInFlight = false;
        bool confirmByOldStatus = false;
    };
} // namespace internal

// One per daemon, on the control thread.
class OrderMachine {
public:
    explicit OrderMachine(OrderConfig, internal::OrderMutations = {});

    std::vector<OrderOutput> apply(Instant now, const OrderInput&);

    // The row names this machine as the holder, as far as it knows. For display only.
    bool isHolder() const { return m_isHolder; }
    // Number of orders answered; the value that EngineSeen::asOf carries.
    uint64_t ordersAnswered() const { return m_answered; }
    const std::vector<OutstandingOrder>& outstanding() const { return m_lease.outstanding; }

private:
    struct Engine {
        EngineSeen seen;
        Instant at {};
        bool isKnown = false;
    };
    struct Sent {
        uint64_t answeredAt = 0; // ordersAnswered() after the answer; 0 while there is none.
        Instant at {};
        bool mustResend = true;
    };
    enum class Waiting : uint8_t { Nothing, Read, Claim, Renewal, Order };

    void onLeaseRead(Instant, const LeaseRead&);
    void onLeaseAnswered(Instant, CommitOutcome, std::vector<OrderOutput>&);
    void onOrderAnswered(Instant, OrderOutcome);
    void onEngineSeen(Instant, const EngineSeen&);
    void proceed(Instant, std::vector<OrderOutput>&);
    void proceedAsHolder(Instant, std::vector<OrderOutput>&);
    void takeOver(std::vector<OrderOutput>&);
    void writeLease(Waiting, OrderLease, std::vector<OrderOutput>&);
    void send(Instant, const OutstandingOrder&, std::vector<OrderOutput>&);
    void withhold(const OutstandingOrder&, WithheldReason, std::vector<OrderOutput>&);
    void loseLease();

    std::optional<OutstandingOrder> wantedOrder(const EndpointRow&) const;
    std::optional<OutstandingOrder> nextOrder(Instant, std::vector<OrderOutput>&);
    std::optional<WithheldReason> reasonToWithhold(Instant, const EndpointRow&, const OutstandingOrder&) const;
    bool isConfirmed(const OutstandingOrder&) const;
    bool isOutstanding(const EndpointId&) const;
    bool isInService(Instant, const EndpointRow&) const;
    bool isCovered(
        Instant, const EndpointRow& model, const std::string& version, LayerRange, const EndpointId& without) const;
    bool isProtected(Instant, const EndpointRow&, const std::string& version) const;
    bool hasWork() const;

    OrderConfig m_config;
    internal::OrderMutations m_mutations;
    std::shared_ptr<const Table> m_table;
    std::map<EndpointId, Engine> m_engines;
    OrderLease m_lease; // As last read or written; the own one while m_isHolder.
    uint64_t m_leaseVersion = 0;
    bool m_isLeaseKnown = false; // Read at least once, and not in doubt since.
    bool m_isLeaseDamaged = false;
    bool m_isHolder = false;
    OrderLease m_writing; // In flight while waiting for Claim or Renewal.
    std::optional<OutstandingOrder> m_toSend; // Listed in m_writing; sent once that is committed.
    std::map<EndpointId, Sent> m_sent;
    std::map<EndpointId, WithheldReason> m_withheld;
    Waiting m_waiting = Waiting::Nothing;
    EndpointId m_sending;
    uint32_t m_step = 0;
    uint64_t m_answered = 0;
    Instant m_leaseChangedAt {}; // When this machine first saw m_leaseVersion.
    Instant m_nextRead {};
    Instant m_nextRenewal {};
};

} // namespace jacinthspindle
