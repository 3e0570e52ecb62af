// One connection of a caller: reads requests, checks route and key, and writes answers.

#pragma once

#include "router/Exchange.h"

namespace jacinthspindle::router {

class Traffic;

// Belongs to the traffic thread.
class ClientSession final : public std::enable_shared_from_this<ClientSession>, public CallerSink {
public:
    ClientSession(Traffic&, tcp::socket);

    // Serves the connection until it ends.
    net::awaitable<void> run();

    // Ends the session after a failure of run(): answers the request in progress if no part of its answer was sent, and
    // closes the connection.
    net::awaitable<void> finishAbandoned();

    // Closes the connection when no request has begun on it for a while: the first one of a new connection may be on
    // its way.
    void closeIfIdle(Instant now);
    bool isIdle() const { return m_isIdle; }

    net::awaitable<bool> sendWhole(http::response<http::string_body>) override;
    net::awaitable<bool> beginParts(http::response_header<>) override;
    net::awaitable<bool> sendPart(std::string_view bytes) override;
    net::awaitable<bool> endParts() override;

private:
    using Request = http::request<http::string_body>;

    net::awaitable<bool> awaitFirstByte();
    net::awaitable<std::optional<Request>> readRequest();
    net::awaitable<std::optional<Request>> rejectUnread(const ErrorCode&);
    // length: as the header announces it. False when the process has no memory for the request.
    bool hold(const std::string& body, const boost::optional<uint64_t>& length);
    net::awaitable<std::optional<Request>> rejectUnheld(const http::request_header<>&);
    net::awaitable<void> discardRest();
    net::awaitable<bool> serve(Request);
    struct Refusal {
        ResultCode code = ResultCode::Ok;
        unsigned status = 0;
        std::optional<Duration> retryAfter;
    };
    // Returns for which workspace the request is run, or why it is not.
    std::variant<WorkspaceId, Refusal> identify(
        const RoutingConfiguration&, const RouteSettings&, const Request&) const;
    net::awaitable<bool> reject(ResultCode, unsigned status, std::string wireId, std::optional<Duration> retryAfter);
    void watchCaller(const std::shared_ptr<Exchange>&);
    bool keepsConnection();
    void close(bool isReset);

    Traffic& m_traffic;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    MemoryBudget::Share m_held; // Of the request.
    std::shared_ptr<Exchange> m_exchange; // In progress.
    bool m_isIdle = true; // No byte of a request has arrived since the last answer.
    Instant m_idleSince; // Valid while m_isIdle.
    bool m_wantsClose = false; // The caller asked for it, or its connection cannot go on.
    bool m_isOldVersion = false; // HTTP/1.0: answers have no chunks.
};

} // namespace jacinthspindle::router
