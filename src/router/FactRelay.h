// What daemons tell each other about the platform: the configuration, the endpoints, and how old this knowledge is.

#pragma once

#include "router/Ports.h"

namespace jacinthspindle::router {

// What the asking daemon has already.
struct FactQuestion {
    std::string source; // Of the last answer; see Facts.
    uint64_t news = 0; // Of the last answer.
    uint64_t configurationVersion = 0;
    uint64_t endpointsRevision = 0;
    bool wantsHeartbeats = false; // Send the endpoints also when nothing but their heartbeats has changed.
    bool operator==(const FactQuestion&) const = default;
};

struct Facts {
    std::string source; // Names the start of the answering daemon; news and endpointsRevision are its own counts.
    uint64_t news = 0; // Rises with each answer of the platform.
    bool isReader = false; // It reads the platform itself, with success.
    uint32_t hosts = 0; // Daemons in the platform's list; 0: unknown.
    uint64_t configurationVersion = 0; // 0: it has none.
    std::chrono::milliseconds configurationAge {}; // When the answer was made.
    std::optional<std::string> configurationDocument; // In the platform's format; only when the asker has another one.
    uint64_t endpointsRevision = 0; // 0: it has no list.
    std::chrono::milliseconds endpointsAge {};
    std::optional<std::vector<EndpointSighting>> endpoints; // Only when the asker has another list.
    // Time since the platform came back from an outage, while entries that lapsed are waited for.
    std::optional<std::chrono::milliseconds> returnedSince;
    bool operator==(const Facts&) const = default;
};

// The target of the question's GET request.
std::string encodeQuestion(const FactQuestion&);
// Nothing when the target is not that of a question.
std::optional<FactQuestion> decodeQuestion(std::string_view target);
std::string encodeFacts(const Facts&);
std::optional<Facts> decodeFacts(std::string_view text);

} // namespace jacinthspindle::router
