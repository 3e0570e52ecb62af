// Settings of a router process, in the product's own terms. The platform adapter fills them from the platform's file.

#pragma once

#include <spindlecore/spindlecore.h>

#include <optional>
#include <string>

namespace jacinthspindle::router {

// Names of the headers that the router reads and sets. They differ from platform to platform.
struct HeaderNames {
    const char* requestId = "X-Request-Id"; // Identifies one attempt of a caller; endpoints echo it.
    const char* deadline = "X-Deadline-Ms"; // Milliseconds that the sender will wait.
    const char* lastEvent = "Last-Event-ID"; // The event after which a stream continues.
    const char* tokens = "X-Tokens"; // Prompt tokens and the most output tokens, with a comma between them.
    const char* promptParts = "X-Prompt-Parts"; // Parts of the prompt in order: ID:tokens, with commas between them.
    const char* workspace = "X-Workspace"; // Set by the router from the caller's key.
    const char* expectedInstance = "X-Expected-Instance"; // The endpoint that is meant; any other one refuses.
    const char* chain = "X-Chain"; // Stages of the request: IP:port=first-end, with commas between them.
    const char* priority = "X-Priority"; // Set by the router.
    const char* signature = "X-Signature"; // Proof that an answer is the endpoint's own.
    const char* notExecuted = "X-Not-Executed"; // The endpoint did not run the request.
    const char* atFault = "X-At-Fault"; // Address of the stage that made a chain fail.
    const char* leaving = "X-Leaving"; // "1" on each answer of an endpoint that leaves.
};

struct RouterSettings {
    HostId host;
    DataCentreId dataCentre;
    std::string frontAddress; // For callers; "IP:port", like those that follow.
    std::string readyAddress; // Where the load balancer asks whether this daemon takes connections.
    std::string metricsAddress; // Empty: no metrics are served.
    std::string peerAddress; // For other daemons. Empty: this daemon neither asks nor answers others.
    uint32_t linkMbps = 0; // Of the host; see PeerHost.
    bool isPreferredPlanner = false; // Claims the planner's lease first when the whole system starts.
    HeaderNames headers;

    // Of the bodies of all requests together, with what is read ahead, and as much again of all answers; see
    // MemoryBudget.
    size_t mostHeldBytes = size_t { 32 } << 20;
    // From SIGTERM to SIGKILL.
    std::chrono::milliseconds shutdownGrace { 8000 };
    // A key is in force no longer than this after it was taken away, by the platform's rules.
    std::chrono::milliseconds keyRevocationBound { 5000 };
    // A change of the configuration or of an endpoint is in force this long after it was made, by the platform's rules.
    std::chrono::milliseconds changeBound { 2000 };
    // Repetitions per first attempt that all daemons together may send to a service.
    double retryShare = 0.2;
    // Beside this share, per retryWindow.
    double extraRetries = 0;
    std::chrono::milliseconds retryWindow { 10000 };
};

} // namespace jacinthspindle::router
