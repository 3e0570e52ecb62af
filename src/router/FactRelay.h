// What daemons tell each other about the platform: the configuration, the endpoints, and how old this knowledge is.

#pragma once

#include "router/EndpointHistory.h"
#include "router/EndpointObservations.h"

namespace jacinthspindle::router {

// What the asking daemon has already.
struct FactQuestion {
    std::string source; // Of the last answer; see Facts.
    uint64_t news = 0; // Of the last answer.
    uint64_t configurationVersion = 0;
    uint64_t endpointsRevision = 0;
    // Send all endpoints also when nothing but their heartbeats has changed; for daemons that send no changes.
    bool wantsHeartbeats = false;
    std::string asker; // Names the start of the asking daemon; empty: it tells no load.
    std::vector<EndpointLoad> load; // Engines at which attempts of the asking daemon run.
    bool acceptsChanges = false; // It takes changes in place of the whole list. Earlier releases do not.
    HostId host; // Of the asking daemon; empty from earlier releases.
    bool isReader = false; // The asking daemon reads the platform itself, with success.
    uint64_t observation = 0; // Number of the last observation in the last answer.
    std::vector<EndpointId> heartbeatsOf; // Endpoints that are sent also when only their heartbeats have changed.
    std::vector<ModelPressure> pressure; // Of the asking daemon's requests; empty from earlier releases.
    bool operator==(const FactQuestion&) const = default;
};

struct Facts {
    std::string source; // Names the start of the answering daemon; news and endpointsRevision are its own counts.
    uint64_t news = 0; // Rises with each answer of the platform.
    bool isReader = false; // It reads the platform itself, with success.
    std::string reader; // Host of the data centre that is to be asked instead; empty when there is none.
    // It is to read the platform, which does not answer it. Other daemons do better to wait than to ask further hosts.
    bool isWaiting = false;
    uint32_t hosts = 0; // Daemons in the platform's list; 0: unknown.
    uint64_t configurationVersion = 0; // 0: it has none.
    // From the question to the answer; earlier releases do not tell.
    std::optional<std::chrono::milliseconds> waited;
    std::chrono::milliseconds configurationAge {}; // When the answer was made.
    std::optional<std::string> configurationDocument; // In the platform's format; only when the asker has another one.
    uint64_t endpointsRevision = 0; // 0: it has no list.
    std::chrono::milliseconds endpointsAge {};
    std::optional<std::vector<EndpointSighting>> endpoints; // Only when the asker has another list.
    // In place of endpoints, when the asker accepts changes and its list is known.
    std::optional<EndpointChanges> changes;
    std::optional<uint64_t> endpointsDigest; // See digestOf(); earlier releases send none.
    // Observations of the data centre's daemons after the one that the asker named, and the number of the last one.
    std::vector<EndpointObservation> observations;
    uint64_t observation = 0;
    // Time since the platform came back from an outage, while entries that lapsed are waited for.
    std::optional<std::chrono::milliseconds> returnedSince;
    uint32_t peers = 0; // Daemons of the answering daemon's data centre in the platform's list; 0: unknown.
    // Attempts of all daemons of the data centre, by engine, without those that have none. Nothing while the answering
    // daemon has not heard from most of them.
    std::optional<std::vector<EndpointLoad>> load;
    // Of all daemons of the data centre; empty while no model's requests differ in priority, and as for load.
    std::vector<ModelPressure> pressure;
    bool operator==(const Facts&) const = default;
};

// The target of the question's request, and its body.
std::string encodeQuestion(const FactQuestion&);
std::string encodeOwnLoad(const FactQuestion&);
// Nothing when the target is not that of a question or the body is malformed. A body is optional.
std::optional<FactQuestion> decodeQuestion(std::string_view target, std::string_view body = {});
std::string encodeFacts(const Facts&);
// Observations that a daemon reports to its source as soon as it makes them: the target of the request, and its body.
inline constexpr std::string_view observationsTarget = "/observations";
std::string encodeObservations(const std::vector<EndpointObservation>&);
std::optional<std::vector<EndpointObservation>> decodeObservations(std::string_view body);
std::optional<Facts> decodeFacts(std::string_view text);

} // namespace jacinthspindle::router
