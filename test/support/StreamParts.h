// Sample chain, tokens and validator of a model on two stages, for the tests of StreamValidator and the stream
// protocol.

#pragma once

#include <functional>
#include <spindlecore/spindlecore.h>

namespace jacinthspindle::test {

constexpr uint32_t sampleLayers = 8;

// copy selects one of several chains with the same layers on different endpoints.
inline Chain sampleChain(const std::string& copy = "a")
{
    return { { EndpointId("front-" + copy), { 0, 4 } }, { EndpointId("back-" + copy), { 4, 8 } } };
}

inline TokenEvent token(uint32_t attempt, uint32_t position, bool isLast = false, const std::string& request = "r1",
    const std::string& copy = "a", const std::string& version = "v1")
{
    TokenEvent event { RequestId(request), attempt, position, request + "#" + std::to_string(position), isLast, {} };
    for (const auto& it : sampleChain(copy))
        event.proof.push_back({ it.endpoint, it.layers, version, attempt });
    return event;
}

// Returns a validator that expects the tokens of the first attempt from position 0.
inline StreamValidator openStream(internal::StreamMutations mutations = {})
{
    StreamValidator validator(RequestId("r1"), sampleLayers, mutations);
    validator.expect(1, sampleChain(), "v1", 0);
    return validator;
}

} // namespace jacinthspindle::test
