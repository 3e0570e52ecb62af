// Estimates service times from measurements: per kind of accelerator, corrected by a factor for each endpoint.

#pragma once

#include "spindlecore/internal/EndpointRegistry.h"

#include <vector>

namespace jacinthspindle::internal {

// Seconds that a stage needs for one layer.
struct LayerTime {
    double prefill = 0; // Per prompt token.
    double decode = 0; // Per generated token.
    double perSequence = 0; // Added per generated token for each other request in the batch; 0: unknown.
};

class ServiceModel {
public:
    // Replaces the estimate for a kind of accelerator.
    void setLayerTime(uint32_t kind, const LayerTime& time) { kindTime(kind) = time; }

    // Expected time for one layer at the endpoint.
    LayerTime layerTime(const EndpointEntry&) const;
    // Seconds to transfer the activations of one token between two consecutive stages of a chain.
    double linkTime(const EndpointEntry& from, const EndpointEntry& to) const;
    // Expected seconds between two tokens of the chain. The indices are those of the chain's endpoints, in order.
    double decodeTime(const EndpointRegistry&, const std::vector<EndpointIndex>&, const Chain&) const;
    // Expected seconds to compute the given number of prompt tokens.
    double prefillTime(const EndpointRegistry&, const std::vector<EndpointIndex>&, const Chain&, double tokens) const;

    // Corrects the estimates by a measured time between two tokens.
    void learnDecode(EndpointRegistry&, const std::vector<EndpointIndex>&, const Chain&, double seconds);
    // Corrects the estimates by a measured time to compute the given number of prompt tokens.
    void learnPrefill(
        EndpointRegistry&, const std::vector<EndpointIndex>&, const Chain&, double tokens, double seconds);

    // Expected seconds for one call of a service endpoint.
    double callTime(const EndpointEntry&) const;
    // Corrects the estimate by the measured time of one call.
    void learnCall(EndpointEntry&, double seconds);

private:
    LayerTime& kindTime(uint32_t kind);
    LayerTime kindTime(uint32_t kind) const;

    std::vector<LayerTime> m_timePerKind; // Indexed by kind of accelerator.
};

} // namespace jacinthspindle::internal
