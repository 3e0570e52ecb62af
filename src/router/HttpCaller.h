// One HTTP call after another to one address over a kept connection; for the platform's store, reports and orders.

#pragma once

#include "router/Net.h"

#include <spindlecore/spindlecore.h>

#include <functional>
#include <memory>

namespace jacinthspindle::router {

struct HttpReply {
    unsigned status = 0;
    std::string body;
    http::fields fields;
};

// Belongs to one event loop. At most one call is in progress.
class HttpCaller {
public:
    static constexpr size_t longestAnswer = size_t { 4 } << 20;

    // maxAnswerBytes: a longer answer counts as none.
    HttpCaller(net::any_io_executor, std::string address, size_t maxAnswerBytes = longestAnswer);

    // Sends this header with each call.
    void setHeader(std::string name, std::string value) { m_headers.emplace_back(std::move(name), std::move(value)); }

    // Nothing when no whole answer came before the timeout; lastReason() then tells why. The call is not repeated,
    // since it may have taken effect; the connection is closed, so that a late answer cannot be taken for another's.
    // maySend: asked right before the request is written, after the time that connecting took; false: it is not sent.
    net::awaitable<std::optional<HttpReply>> call(http::verb, std::string target, std::string body,
        std::chrono::milliseconds timeout, std::function<bool()> maySend = {});

    // The request of the last call may have reached the peer.
    bool wasSent() const { return m_wasSent; }
    const Reason& lastReason() const { return m_lastReason; }

private:
    // Returns the kept connection or a new one.
    net::awaitable<std::unique_ptr<beast::tcp_stream>> takeStream(std::chrono::milliseconds timeout);
    std::optional<HttpReply> fail(const char* step, const ErrorCode&);

    net::any_io_executor m_executor;
    std::string m_address;
    size_t m_maxAnswerBytes;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::unique_ptr<beast::tcp_stream> m_stream; // Null during a call, so that a failed one leaves nothing half read.
    bool m_wasSent = false;
    Reason m_lastReason;
};

} // namespace jacinthspindle::router
