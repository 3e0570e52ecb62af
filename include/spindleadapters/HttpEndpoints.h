// Model engines and plain services over HTTP. docs/design.md 2.5 lists the requests.

#pragma once

#include "spindlecore/Ports.h"

namespace jacinthspindle {

// Thread-safe. The address is a part of each call.
class HttpModelEngine final : public ModelEngine {
public:
    // Complete: the last token of this request and attempt was delivered. ConnectFailed: no connection to the first
    // hop was made. Refused: the first hop answered with an HTTP error. StreamBroken and Stalled name the endpoint of
    // the fault line; without one, StreamBroken names the first hop and Stalled names none.
    GenerationEnd run(const GenerationCall&, const std::function<StreamControl(const TokenEvent&)>& onToken,
        std::chrono::milliseconds stallLimit, const SilenceHandler& onSilence) override;
    bool cancel(const std::string& address, const RequestId&, uint32_t attempt, std::chrono::milliseconds) override;
    bool setPriority(const std::string& address, const RequestId&, uint32_t attempt, uint8_t priority,
        std::chrono::milliseconds) override;
    std::optional<EngineStatus> status(const std::string& address, std::chrono::milliseconds timeout) override;
    OrderOutcome order(const EngineOrder&, std::chrono::milliseconds timeout) override;
};

// Thread-safe. The address is a part of each call.
class HttpPlainService final : public PlainService {
public:
    // NotSent: no connection was made, or the call holds characters that HTTP does not allow. An answer counts as
    // whole only when its end is marked by a length or by chunks.
    ServiceAnswer call(const ServiceCall&, std::chrono::milliseconds timeout) override;
    LookupAnswer lookup(const ServiceCall&, std::chrono::milliseconds timeout) override;
};

} // namespace jacinthspindle
