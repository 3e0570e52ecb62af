// Measured service times: per kind of accelerator, corrected by a factor for each endpoint.

#pragma once

#include "spindlecore/internal/EndpointBook.h"

#include <vector>

namespace jacinthspindle::internal {

// Seconds that one hop needs, for one layer.
struct LayerTime {
    double prefill = 0; // Per prompt token.
    double decode = 0; // Per generated token.
    double perSequence = 0; // Added per generated token for each other request; 0: not known.
};

class ServiceModel {
public:
    // Replaces the estimate for a kind of accelerator.
    void declare(uint32_t kind, const LayerTime& time) { timeOf(kind) = time; }

    // Expected time of one layer at the endpoint.
    LayerTime layerTime(const EndpointEntry&) const;
    // Seconds per token between two neighbours in a chain.
    double linkTime(const EndpointEntry& from, const EndpointEntry& to) const;
    // Seconds between two tokens of a chain, and seconds to the first token of a prompt.
    double decodeTime(const EndpointBook&, const std::vector<EndpointIndex>&, const Chain&) const;
    double prefillTime(const EndpointBook&, const std::vector<EndpointIndex>&, const Chain&, double tokens) const;

    // Corrects the estimates by a measured time between tokens.
    void learnDecode(EndpointBook&, const std::vector<EndpointIndex>&, const Chain&, double seconds);
    // Corrects the estimates by a measured time to the first token, of which tokens were computed.
    void learnPrefill(EndpointBook&, const std::vector<EndpointIndex>&, const Chain&, double tokens, double seconds);

    // Seconds for one call of a plain service.
    double callTime(const EndpointEntry&) const;
    void learnCall(EndpointEntry&, double seconds);

private:
    LayerTime& timeOf(uint32_t kind);
    LayerTime timeOf(uint32_t kind) const;

    std::vector<LayerTime> m_kinds; // By kind of accelerator.
};

} // namespace jacinthspindle::internal
