// A small HTTP server for the balancer's question, metrics and other daemons: each request gets a status and a text.

#pragma once

#include "router/EventLoop.h"

#include <spindlecore/spindlecore.h>

#include <functional>
#include <string>

namespace jacinthspindle::router {

struct TextAnswer {
    unsigned status = 200;
    std::string text;
};

struct TextRequest {
    std::string target;
    std::string body;
};

using TextHandler = std::function<net::awaitable<TextAnswer>(TextRequest)>;

// A handler that needs neither the request nor time.
TextHandler immediately(std::function<TextAnswer()> answer);

// Belongs to one event loop; the handler runs on it.
class TextServer {
public:
    TextServer(EventLoop&, TextHandler);

    // Returns why the address cannot be opened.
    std::optional<Reason> open(const std::string& address);

private:
    net::awaitable<void> accept();
    net::awaitable<void> serve(tcp::socket);

    EventLoop& m_loop;
    tcp::acceptor m_acceptor;
    TextHandler m_handler;
};

} // namespace jacinthspindle::router
