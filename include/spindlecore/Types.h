// Basic value types that all modules share: identifiers, layer ranges, chains and time.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jacinthspindle {

// Monotonic time of one process; not comparable between processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using Duration = std::chrono::nanoseconds;
// Calendar time; only for display, never for decisions.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// A strongly typed string identifier. The tag prevents, for example, a WorkspaceId from being passed as a RouteId.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }
    auto operator<=>(const Identifier&) const = default;

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit) { visit(self.m_value); }

private:
    std::string m_value;
};

using RequestId = Identifier<struct RequestTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;
using RouteId = Identifier<struct RouteTag>;
using EndpointId = Identifier<struct EndpointTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using HostId = Identifier<struct HostTag>;

// The half-open range [first, end) of a model's layers.
struct LayerRange {
    uint32_t first = 0;
    uint32_t end = 0;

    uint32_t count() const { return end > first ? end - first : 0; }
    bool contains(uint32_t layer) const { return layer >= first && layer < end; }
    auto operator<=>(const LayerRange&) const = default;

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.first, self.end);
    }
};

// Engines refuse requests with longer chains.
constexpr size_t maxChainStages = 32;
// An engine counts as slow when it reports at least this pace, its time relative to the usual time of its kind of
// accelerator. The time of a chain is the sum of its stages, so one slow engine delays the whole chain.
constexpr double slowPace = 2;

// One stage of a chain: the endpoint and the layers that it runs.
struct StageHop {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const StageHop&) const = default;

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.endpoint, self.layers);
    }
};

// The stages of one attempt, in order. On a model route the ranges cover each layer exactly once; on a service route
// the chain has one stage with an empty range.
using Chain = std::vector<StageHop>;

} // namespace jacinthspindle

template <typename Tag> struct std::hash<jacinthspindle::Identifier<Tag>> {
    size_t operator()(const jacinthspindle::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
